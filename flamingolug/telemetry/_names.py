"""Reasons for refusals and retries in counters, logs and responses."""

import enum


class Refusal(enum.StrEnum):
    """Reason why a call was refused without being run."""

    #: The shedding level of the call is above the levels that the service, or
    #: a service that it calls, admits.
    LEVEL = "level"
    #: The admission queue in front of the backend server is full of more
    #: important or earlier calls.
    SHED = "shed"
    #: The call is not expected to finish before its deadline.
    DEADLINE = "deadline"
    #: The caller cancelled the call before it was started.
    CANCELLED = "cancelled"
    #: The rest of the attempt allowance does not cover the call.
    ALLOWANCE = "allowance"
    #: The backend server or its node is leaving the fleet.
    LEAVING = "leaving"
    #: No upstream of the service is known or reachable.
    NO_UPSTREAM = "no-upstream"
    #: The chosen node or the backend server could not be reached.
    UNREACHABLE = "unreachable"
    #: This node has no active manifest yet.
    NO_MANIFEST = "no-manifest"
    #: The manifest does not contain the service or kind.
    UNKNOWN_KIND = "unknown-kind"
    #: The request is malformed or lacks a required header.
    BAD_REQUEST = "bad-request"
    #: The request body exceeds the limit.
    BODY_TOO_LARGE = "body-too-large"
    #: The idempotency key was used before for a different request.
    KEY_REUSED = "key-reused"
    #: This node may not run the call: it does not own the idempotency key, the
    #: call is addressed to another incarnation, or the call may have been
    #: buffered while the node was paused.
    NO_RIGHT = "no-right"
    #: The parent request is not in flight at this node.
    PARENT_GONE = "parent-gone"
    #: The sender asked the peer for the state of the call before the call
    #: arrived there. The peer reported that the call has not run, and drops it
    #: if it arrives.
    BARRED = "barred"
    #: The backend server responded that it did not run the call.
    BACKEND_SHED = "backend-shed"


class Retry(enum.StrEnum):
    """Reason why a call was sent again."""

    #: The peer refused the call without running it.
    NOT_RUN = "not-run"
    #: Another node owns the idempotency key.
    OWNER_MOVED = "owner-moved"
    #: The peer could not be reached.
    UNREACHABLE = "unreachable"
    #: The outcome is unknown and the kind is idempotent.
    UNKNOWN_IDEMPOTENT = "unknown-idempotent"
    #: The backend server returned an error and the kind is idempotent.
    FAILED_IDEMPOTENT = "failed-idempotent"


class RetryDenied(enum.StrEnum):
    """Reason why a failed call was not sent again."""

    #: The outcome is unknown and the kind is non-idempotent.
    NON_IDEMPOTENT = "non-idempotent"
    #: The rest of the attempt allowance does not cover another attempt.
    ALLOWANCE = "allowance"
    #: The retry budget of the service is exhausted.
    BUDGET = "budget"
    #: The time left until the deadline is too short for another attempt.
    DEADLINE = "deadline"
    #: Every other upstream would refuse the call for the same reason.
    FINAL = "final"
