"""Splits one request's attempt allowance into disjoint shares.

A request starts with the bound of its kind. Each attempt takes a share out of
what the hop still holds; the share covers the attempt itself and everything
below it. What comes back unspent is added again. When an answer is lost the
whole share counts as spent, so the sum over all attempts behind one request
never passes the bound.
"""

from collections.abc import Iterable


def share_for_attempt(held: int, needed: int, retries_left: int) -> int:
    """Returns the share that the next attempt of a call may take.

    Args:
        held: attempts that this hop holds for the call.
        needed: attempts of the call when nothing fails, itself included.
        retries_left: further attempts this hop would like to afford.

    Returns:
        0 when `held` cannot cover the call, else a share of at least
        `needed` that keeps `needed` in hand for each wished retry while it
        can.
    """
    if held < needed or held <= 0:
        return 0
    spare = held - needed
    kept = min(spare, needed * max(retries_left, 0))
    return held - kept


def reserve_for_children(
    held: int, needed: int, later_needs: Iterable[int]
) -> int:
    """Returns what one call of a backend server may use of its request.

    Args:
        held: attempts that the request still holds at this hop.
        needed: attempts of this call when nothing fails.
        later_needs: the same of declared calls that have not begun yet.

    Returns:
        `held` less what the later calls need, but at least `needed` where
        that much is held, and never more than `held`.
    """
    free = held - sum(later_needs)
    return max(min(held, max(free, needed)), 0)
