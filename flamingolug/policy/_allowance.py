"""Splits the attempts that one request may take into disjoint allowances.

A request starts with the maximum number of attempts of its kind. Each attempt
gets an allowance out of the attempts that remain at the hop; the allowance
covers the attempt itself and all calls made on its behalf. The unspent part of
an allowance is added back. When an answer is lost, the whole allowance counts
as spent, so that the number of attempts made for one request never exceeds the
maximum.
"""

from collections.abc import Iterable


def allowance_for_attempt(
    remaining: int, needed: int, retries_left: int
) -> int:
    """Returns the allowance of the next attempt of a call.

    Args:
        remaining: attempts that remain at this hop for the call.
        needed: attempts that the call takes when nothing fails, itself
            included.
        retries_left: further attempts to reserve for, if possible.

    Returns:
        0 when `remaining` does not cover the call, otherwise an allowance of
        at least `needed`; `needed` attempts are reserved for each further
        attempt as far as possible.
    """
    if remaining < needed or remaining <= 0:
        return 0
    surplus = remaining - needed
    reserved = min(surplus, needed * max(retries_left, 0))
    return remaining - reserved


def allowance_for_child_call(
    remaining: int, needed: int, needed_later: Iterable[int]
) -> int:
    """Returns the allowance of one call that a backend server makes.

    Args:
        remaining: attempts that remain at this hop for the request that the
            backend server processes.
        needed: attempts that this call takes when nothing fails, itself
            included.
        needed_later: the same for each declared call of the request that has
            not begun yet.

    Returns:
        `remaining` minus the sum of `needed_later`, but at least `needed` if
        that many remain, and never more than `remaining`.
    """
    available = remaining - sum(needed_later)
    return max(min(remaining, max(available, needed)), 0)
