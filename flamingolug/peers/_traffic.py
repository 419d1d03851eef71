"""Counters of the traffic over a node's peer links."""


class Traffic:
    """Counts messages and the bytes of their frames in both directions."""

    def __init__(self) -> None:
        """Starts at zero."""
        self.messages_sent = 0
        self.messages_received = 0
        self.bytes_sent = 0
        self.bytes_received = 0

    def record_sent(self, frames: list[bytes]) -> None:
        """Counts a sent message."""
        self.messages_sent += 1
        self.bytes_sent += sum(map(len, frames))

    def record_received(self, frames: list[bytes]) -> None:
        """Counts a received message."""
        self.messages_received += 1
        self.bytes_received += sum(map(len, frames))
