"""Capacity of the priority queue of a backend server, and expected wait."""

#: Maximum seconds of work queued in front of a backend server, unless the
#: minimum capacity permits more.
MAX_QUEUED_WORK_S = 0.1
#: Minimum queue capacity in calls, whatever the service time.
MIN_QUEUE_CAPACITY = 4


def queue_capacity(limit: int, service_time_s: float) -> int:
    """Returns the queue capacity in calls.

    Args:
        limit: maximum number of calls in flight.
        service_time_s: mean seconds that a call occupies its slot; 0 while
            unknown, then one queued call per slot is permitted in addition to
            the minimum.
    """
    if service_time_s <= 0.0:
        return MIN_QUEUE_CAPACITY + limit
    return max(
        int(limit * MAX_QUEUED_WORK_S / service_time_s), MIN_QUEUE_CAPACITY
    )


def predict_wait_s(ahead: int, limit: int, service_time_s: float) -> float:
    """Returns the expected seconds until a slot is free for a call.

    Args:
        ahead: queued calls that are more important.
        limit: maximum number of calls in flight.
        service_time_s: mean seconds that a call occupies its slot.
    """
    return (ahead + 1) * service_time_s / max(limit, 1)
