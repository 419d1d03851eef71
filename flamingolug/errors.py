"""Exceptions raised by flamingolug.

Each exception contains the step that failed and the peer concerned, so that a
log line or a problem document can name both.
"""

__all__ = [
    "BackendError",
    "BodyTooLargeError",
    "CodecError",
    "ConfigurationError",
    "FlamingolugError",
    "HistoryLostError",
    "KernelError",
    "LeaseLostError",
    "PeerLostError",
    "PeerUnreachableError",
    "RefusedError",
    "ResponseTooLargeError",
    "StoreConflictError",
    "StoreError",
    "StoreUnavailableError",
]


class FlamingolugError(Exception):
    """Base class of all exceptions of flamingolug."""

    def __init__(self, message: str, *, step: str = "", peer: str = "") -> None:
        """Creates an error.

        Args:
            message: what went wrong and, if known, how to correct it.
            step: the operation that failed, such as `store.read`; empty if
                not stated.
            peer: the name or address of the other side, or the path of the
                file concerned; empty if there is none.
        """
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        location = f"{self.step}" + (f" ({self.peer})" if self.peer else "")
        return f"{location}: {self.message}" if location else self.message


class ConfigurationError(FlamingolugError):
    """An input is invalid or cannot be read.

    Examples are a settings file, a manifest, a command-line argument and an
    announcement of a backend server. The input has not been applied.
    """


class KernelError(FlamingolugError):
    """The plug-ins of a program are inconsistent.

    A required part is missing or has another type, two plug-ins have the same
    name, or plug-ins require each other in a cycle. This is an error in the
    program, not in its settings, and no handler can correct it.
    """


class CodecError(FlamingolugError):
    """A received message or HTTP request is malformed or unexpected.

    It has not been processed.
    """


class BodyTooLargeError(FlamingolugError):
    """A request or response body exceeds its size limit.

    An oversized request has not been run. A request whose response is
    oversized may have run.
    """


class BackendError(FlamingolugError):
    """An HTTP exchange ended without a complete message from the other side.

    The other side is a backend server, a node, a store or, for a request that
    this process receives, the caller. If `sent` is false, no byte of a request
    reached the peer, so the request was not run. Otherwise, the request may
    have been run.
    """

    def __init__(
        self, message: str, *, step: str, peer: str, sent: bool
    ) -> None:
        """Creates an error.

        Args:
            message: see `FlamingolugError`.
            step: see `FlamingolugError`.
            peer: see `FlamingolugError`.
            sent: whether any byte of the request may have reached the peer;
                false for a request that this process receives.
        """
        super().__init__(message, step=step, peer=peer)
        self.sent = sent


class ResponseTooLargeError(BackendError):
    """The answer to a request exceeds a limit; the request may have been run.

    The limit is one of the response, of all responses to the request, or of all
    responses that are received at the time.
    """


class PeerUnreachableError(FlamingolugError):
    """The peer has not processed the message and will not process it.

    The message was not sent, or the peer has reported that it has not received
    it and drops it if it arrives. It may be sent to another peer.
    """


class PeerLostError(FlamingolugError):
    """No answer arrived from a peer that may have received the message.

    The peer may have processed the message or may still process it.
    """


class StoreError(FlamingolugError):
    """Base class of the errors of the key-value store."""


class StoreUnavailableError(StoreError):
    """The store returned no usable response.

    A write may have taken effect or may still take effect.
    """


class StoreConflictError(StoreError):
    """The stored version differs from the one that a write expected.

    This write had no effect. The stored value may be that of an earlier write
    whose response was lost.
    """


class HistoryLostError(StoreError):
    """The store no longer has all changes since the requested store revision.

    The caller must list the current entries again before it watches for
    further changes.
    """


class LeaseLostError(StoreError):
    """The store does not have the lease, because it has expired or was ended.

    The keys that were written under the lease have been removed. The caller
    needs a new lease to write them again.
    """


class RefusedError(FlamingolugError):
    """A call was refused. It has not run and will not run.

    `reason` is the value of a `telemetry.Refusal`.
    """

    def __init__(self, reason: str, *, step: str, peer: str = "") -> None:
        """Creates an error.

        Args:
            reason: value of a `telemetry.Refusal`, also used as the message.
            step: see `FlamingolugError`.
            peer: see `FlamingolugError`.
        """
        super().__init__(reason, step=step, peer=peer)
        self.reason = reason
