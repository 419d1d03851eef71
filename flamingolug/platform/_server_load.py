"""Decodes the load that a backend server reports with its responses."""

from flamingolug import gateway

#: Most digits of a figure.
_MAX_DIGITS = 9
#: Figures for the requests running, those waiting and the slots.
_FIELDS = 3
_PERCENT = 100.0


def decode_load(value: bytes) -> gateway.ServerLoad | None:
    """Returns the load in a header value, None if it is malformed.

    The value contains the numbers of requests running, requests waiting and
    slots. A fourth number states how long work takes on the machine at that
    moment, in percent of the usual time; some services omit it.
    """
    parts = value.split(b",")
    if not _FIELDS <= len(parts) <= _FIELDS + 1:
        return None
    figures: list[int] = []
    for part in parts:
        text = part.strip()
        if not text.isdigit() or len(text) > _MAX_DIGITS:
            return None
        figures.append(int(text))
    running, waiting, slots = figures[:_FIELDS]
    if len(figures) == _FIELDS:
        return gateway.ServerLoad(running, waiting, slots)
    return gateway.ServerLoad(
        running, waiting, slots, figures[_FIELDS] / _PERCENT
    )
