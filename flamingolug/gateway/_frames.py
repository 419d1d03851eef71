"""Messages between nodes: MessagePack arrays behind a length of four bytes.

Short names and arrays keep frames small, since bytes between availability
zones are dear. Times are sent as what is left, never as clock readings.
"""

import struct

import msgspec

from flamingolug.gateway import _dynamic_table

#: A frame holds one request or response body and its head.
MAX_FRAME_BYTES = 128 * 1024 * 1024
_LENGTH = struct.Struct(">I")


class Hello(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """First message on a link, in both directions."""

    node: str
    zone: str
    #: Version of the configuration in force, 0 for none.
    version: int
    #: Revision of the last change of an entry that the sender knows.
    entries_revision: int


class CallFrame(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """A request for the upstream beside the receiver."""

    number: int
    request_id: str
    upstream_id: _dynamic_table.Token
    caller: _dynamic_table.Token
    method: _dynamic_table.Token
    target: bytes
    headers: list[_dynamic_table.Field]
    body: bytes
    #: Milliseconds until nobody waits for the answer.
    left_ms: int
    #: Milliseconds that it may wait for a slot.
    wait_ms: int
    rank: int
    idempotent: bool
    route: _dynamic_table.Token


class LoadFrame(msgspec.Struct, array_like=True, frozen=True):
    """Load of the upstream beside the sender."""

    running: int
    limit: int
    waiting: list[int]
    hold_ms: int
    #: Hundredths.
    failing: int
    #: Hundredths.
    pressure: int


class ResultFrame(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """What became of a call."""

    number: int
    #: Value of a `Verdict`.
    verdict: int
    reason: str
    arrived: bool
    nested: bool
    load: LoadFrame | None
    status: int = 0
    headers: list[_dynamic_table.Field] = []
    body: bytes = b""


class CancelFrame(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """Nobody waits for the call any more."""

    number: int


class Ping(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """Asks for a sign of life; tells what the sender knows."""

    version: int
    #: Revision of the last change of an entry.
    entries_revision: int


class Status(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """Sign of life, also sent unasked when the state changes."""

    version: int
    #: Revision of the last change of an entry.
    entries_revision: int
    #: Upstream that takes work now, empty for none.
    upstream_id: str
    load: LoadFrame


class ConfigurationRequest(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """Asks for the configuration in force."""


class ConfigurationFrame(msgspec.Struct, array_like=True, tag=8, frozen=True):
    """The configuration in force, as stored."""

    document: bytes


class EntriesRequest(msgspec.Struct, array_like=True, tag=9, frozen=True):
    """Asks for entries of upstreams; the store gives none."""

    #: Only entries with a higher revision are asked for.
    after: int


class EntryFrame(msgspec.Struct, array_like=True, frozen=True):
    """The entry of one upstream, as stored."""

    key: str
    value: bytes
    revision: int


class EntriesFrame(msgspec.Struct, array_like=True, tag=10, frozen=True):
    """Entries of upstreams that take work."""

    entries: list[EntryFrame]


Frame = (
    Hello
    | CallFrame
    | ResultFrame
    | CancelFrame
    | Ping
    | Status
    | ConfigurationRequest
    | ConfigurationFrame
    | EntriesRequest
    | EntriesFrame
)
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Frame)


def encode(frame: Frame) -> bytes:
    """Returns a frame with its length in front."""
    data = _ENCODER.encode(frame)
    return _LENGTH.pack(len(data)) + data


class FrameReader:
    """Splits the bytes of a link into frames."""

    def __init__(self) -> None:
        """Starts at the beginning of a link."""
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Returns the frames that `data` completes.

        Raises:
            msgspec.DecodeError: the bytes are not frames; close the link.
        """
        buffer = self._buffer
        buffer += data
        frames: list[Frame] = []
        start = 0
        while len(buffer) - start >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(buffer, start)
            if size > MAX_FRAME_BYTES:
                raise msgspec.DecodeError(f"frame of {size} bytes")
            end = start + _LENGTH.size + size
            if len(buffer) < end:
                break
            frames.append(
                _DECODER.decode(bytes(buffer[start + _LENGTH.size : end]))
            )
            start = end
        if start:
            del buffer[:start]
        return frames
