"""Names of all counters and the reasons that they may carry."""

import enum


class Refusal(enum.StrEnum):
    """Why a call was refused before a backend server got it."""

    #: Its shedding level is above the level that the service admits.
    LEVEL = "level"
    #: The wait in front of the backend server is full of better work.
    SHED = "shed"
    #: It could not finish before its deadline.
    DEADLINE = "deadline"
    #: The caller cancelled before it was started.
    CANCELLED = "cancelled"
    #: The attempt allowance is spent.
    ALLOWANCE = "allowance"
    #: The backend server or its node is leaving.
    LEAVING = "leaving"
    #: No upstream of the service is known or reachable.
    NO_UPSTREAM = "no-upstream"
    #: The chosen peer could not be reached.
    UNREACHABLE = "unreachable"
    #: No manifest is in force yet.
    NO_MANIFEST = "no-manifest"
    #: Unknown service or kind.
    UNKNOWN_KIND = "unknown-kind"
    #: The request is malformed or misses a required header.
    BAD_REQUEST = "bad-request"
    #: The request body exceeds the limit.
    BODY_TOO_LARGE = "body-too-large"
    #: The key was used before with another request.
    KEY_REUSED = "key-reused"
    #: This node holds no right to run the key.
    NO_RIGHT = "no-right"
    #: The parent request is not in flight at this node.
    PARENT_GONE = "parent-gone"
    #: The call was barred by a later settlement.
    BARRED = "barred"
    #: The backend server itself said that it did not run the call.
    BACKEND_SHED = "backend-shed"


class Retry(enum.StrEnum):
    """Why a call was sent once more."""

    #: The peer refused without running it.
    NOT_RUN = "not-run"
    #: The key has moved to another owner.
    OWNER_MOVED = "owner-moved"
    #: The peer could not be reached.
    UNREACHABLE = "unreachable"
    #: The outcome is unknown and the kind is idempotent.
    UNKNOWN_IDEMPOTENT = "unknown-idempotent"
    #: The backend server failed and the kind is idempotent.
    FAILED_IDEMPOTENT = "failed-idempotent"


class RetryDenied(enum.StrEnum):
    """Why a failed call was not sent again."""

    #: The outcome is unknown and the kind is non-idempotent.
    NON_IDEMPOTENT = "non-idempotent"
    #: No attempts are left for this request.
    ALLOWANCE = "allowance"
    #: The service's retry budget is spent.
    BUDGET = "budget"
    #: Too little time is left.
    DEADLINE = "deadline"
    #: The refusal would be the same everywhere.
    FINAL = "final"
