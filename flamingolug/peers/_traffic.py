"""Counts what passes over a node's peer links."""


class Traffic:
    """Messages and payload bytes, both directions."""

    def __init__(self) -> None:
        """Starts at zero."""
        self.messages_sent = 0
        self.messages_received = 0
        self.bytes_sent = 0
        self.bytes_received = 0

    def sent(self, frames: list[bytes]) -> None:
        """Counts one message."""
        self.messages_sent += 1
        self.bytes_sent += sum(map(len, frames))

    def received(self, frames: list[bytes]) -> None:
        """Counts one message."""
        self.messages_received += 1
        self.bytes_received += sum(map(len, frames))
