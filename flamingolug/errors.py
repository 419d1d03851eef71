"""Every exception that flamingolug raises on purpose.

Each error carries the step in which it arose and the peer concerned, so that
one log line or problem document can name both.
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
    "StoreConflictError",
    "StoreError",
    "StoreUnavailableError",
]


class FlamingolugError(Exception):
    """Base of all errors; names the step and the peer."""

    def __init__(self, message: str, *, step: str = "", peer: str = "") -> None:
        """Creates an error.

        Args:
            message: what went wrong and what to do about it.
            step: the operation that failed, such as `store.read`.
            peer: the address or name of the other side, empty if none.
        """
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = f"{self.step}" + (f" ({self.peer})" if self.peer else "")
        return f"{where}: {self.message}" if where else self.message


class ConfigurationError(FlamingolugError):
    """A settings file or manifest is not acceptable."""


class KernelError(FlamingolugError):
    """Plug-ins cannot be resolved: unknown, duplicate or cyclic."""


class CodecError(FlamingolugError):
    """A peer message cannot be decoded."""


class BodyTooLargeError(FlamingolugError):
    """A request or response body exceeds the stated limit."""


class BackendError(FlamingolugError):
    """The exchange with a backend server failed.

    `sent` tells whether any byte of the request may have reached it.
    """

    def __init__(
        self, message: str, *, step: str, peer: str, sent: bool
    ) -> None:
        """Creates an error; see the base class for the common arguments."""
        super().__init__(message, step=step, peer=peer)
        self.sent = sent


class PeerUnreachableError(FlamingolugError):
    """The message was provably never handed to the peer."""


class PeerLostError(FlamingolugError):
    """The peer fell silent after it may have received the message."""


class StoreError(FlamingolugError):
    """Base of the key-value store's errors."""


class StoreUnavailableError(StoreError):
    """No answer from the store; a write may have taken effect."""


class StoreConflictError(StoreError):
    """A compare-and-swap met another version than expected."""


class HistoryLostError(StoreError):
    """The changes since a revision are no longer known; list again."""


class LeaseLostError(StoreError):
    """The lease has ended; its keys are gone."""


class RefusedError(FlamingolugError):
    """A call was refused before it ran; `reason` is a `Refusal`."""

    def __init__(self, reason: str, *, step: str, peer: str = "") -> None:
        """Creates an error; see the base class for the common arguments."""
        super().__init__(reason, step=step, peer=peer)
        self.reason = reason
