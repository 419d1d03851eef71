"""Bounds the priority queue in front of a backend server."""

#: Seconds of work that may be queued in front of a backend server.
WAIT_TARGET_S = 0.1
#: Minimum queue capacity, whatever the service time.
MIN_WAITING = 4


def queue_capacity(limit: int, service_time_s: float) -> int:
    """Returns the queue capacity in calls.

    Args:
        limit: maximum number of calls in flight.
        service_time_s: mean seconds that a call occupies its slot.
    """
    if service_time_s <= 0.0:
        return MIN_WAITING + limit
    return max(int(limit * WAIT_TARGET_S / service_time_s), MIN_WAITING)


def predict_wait_s(ahead: int, limit: int, service_time_s: float) -> float:
    """Returns the expected seconds until a slot is free for a call.

    Args:
        ahead: queued calls that are more important.
        limit: maximum number of calls in flight.
        service_time_s: mean seconds that a call occupies its slot.
    """
    return (ahead + 1) * service_time_s / max(limit, 1)
