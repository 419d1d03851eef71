"""Bounds the ordered wait in front of a backend server."""

#: Seconds of work that may wait in front of a backend server.
WAIT_TARGET_S = 0.1
#: Calls that may wait whatever the service time.
MIN_WAITING = 4


def wait_capacity(limit: int, service_time_s: float) -> int:
    """Returns how many calls may wait.

    Args:
        limit: calls in flight at most.
        service_time_s: mean seconds that a call holds its slot.
    """
    if service_time_s <= 0.0:
        return MIN_WAITING + limit
    return max(int(limit * WAIT_TARGET_S / service_time_s), MIN_WAITING)


def predict_wait_s(ahead: int, limit: int, service_time_s: float) -> float:
    """Returns the seconds until a slot is free for a call.

    Args:
        ahead: waiting calls that are more important.
        limit: calls in flight at most.
        service_time_s: mean seconds that a call holds its slot.
    """
    return (ahead + 1) * service_time_s / max(limit, 1)
