"""Frames between nodes: MessagePack arrays with a four-byte length prefix.

Arrays without field names keep frames small, since traffic between
availability zones is expensive. Times are sent as remaining durations, never
as clock readings. Fields are only added at the end, with a default, so that
nodes of two versions understand each other during an upgrade.
"""

import struct

import msgspec

from flamingolug.gateway import _dynamic_table

#: Longest accepted frame. A frame carries one request or response with its head
#: and body; the limit is twice the longest accepted response body of 64 MiB.
MAX_FRAME_BYTES = 128 * 1024 * 1024
_LENGTH = struct.Struct(">I")


class Hello(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """First frame on a link, in both directions."""

    node: str
    zone: str
    #: Version of the active configuration, 0 for none.
    version: int
    #: Revision of the latest change of a directory entry that the sender has
    #: seen.
    entries_revision: int
    #: Era of that revision, 0 if it is unknown.
    entries_era: int = 0


class CallFrame(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """A request for the receiver's upstream."""

    #: Number of the call, unique among the calls of the sender on this link;
    #: results and cancellations refer to it.
    number: int
    request_id: str
    upstream_id: _dynamic_table.Token
    #: Service of the node that received the request from its caller.
    origin_service: _dynamic_table.Token
    method: _dynamic_table.Token
    target: bytes
    headers: list[_dynamic_table.Field]
    body: bytes
    #: Milliseconds until the upstream must have answered.
    remaining_ms: int
    #: Milliseconds for which the call may wait for a slot.
    wait_ms: int
    rank: int
    idempotent: bool
    route: _dynamic_table.Token


class LoadFrame(msgspec.Struct, array_like=True, frozen=True):
    """Load of the sender's upstream."""

    running: int
    limit: int
    waiting: list[int]
    hold_ms: int
    #: Failure ratio in hundredths.
    failing: int
    #: Pressure in hundredths.
    pressure: int
    #: Service that has this pressure, empty below
    #: `_pressure.MIN_REPORTED_PRESSURE`.
    bottleneck: str = ""
    #: Longest chain of calls below the sender's service.
    chain_depth: int = 0
    #: Calls of the bottleneck that could not end in time, in hundredths of all.
    expired: int = 0


class ResultFrame(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """Result of a call."""

    number: int
    #: Value of a `_model.Verdict`.
    verdict: int
    reason: str
    arrived: bool
    nested: bool
    load: LoadFrame | None
    status: int = 0
    headers: list[_dynamic_table.Field] = []
    body: bytes = b""


class CancelFrame(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """Cancels a call whose result is no longer awaited."""

    number: int


class Ping(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """Requests a status frame; carries the versions held by the sender."""

    version: int
    #: Revision of the latest change of a directory entry that the sender has
    #: seen.
    entries_revision: int
    #: Era of that revision, 0 if it is unknown.
    entries_era: int = 0


class Status(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """Response to a ping; also sent unsolicited when the state changes."""

    version: int
    #: Revision of the latest change of a directory entry that the sender has
    #: seen.
    entries_revision: int
    #: Id of the upstream that accepts calls, empty for none.
    upstream_id: str
    load: LoadFrame
    #: Era of `entries_revision`, 0 if it is unknown.
    entries_era: int = 0


class ConfigurationRequest(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """Requests the active configuration."""


class ConfigurationFrame(msgspec.Struct, array_like=True, tag=8, frozen=True):
    """The active configuration, as stored."""

    document: bytes


class EntriesRequest(msgspec.Struct, array_like=True, tag=9, frozen=True):
    """Requests entries of upstreams that the store did not deliver."""

    #: Only entries with a higher revision are requested.
    after_revision: int
    #: Whether the receiver should catch up with the store before it answers.
    read_store: bool = False
    #: Era of `after_revision`, 0 if it is unknown.
    after_era: int = 0


class EntryFrame(msgspec.Struct, array_like=True, frozen=True):
    """The entry of one upstream, as stored."""

    key: str
    value: bytes
    revision: int
    #: Era of the revision, 0 if it is unknown.
    era: int = 0


class EntriesFrame(msgspec.Struct, array_like=True, tag=10, frozen=True):
    """Entries of upstreams, all that the sender has or later ones only."""

    #: In state `ready`.
    entries: list[EntryFrame]
    #: Of all upstreams that leave or have left.
    departures: list[EntryFrame] = []
    #: Whether the sender has caught up with the store since the request.
    is_current: bool = False


class DepartureFrame(msgspec.Struct, array_like=True, tag=11, frozen=True):
    """Tells that an upstream leaves or has left."""

    #: Number of the request to record it in the store, unique in the sender's
    #: process; 0 if the sender needs no record.
    number: int
    #: The entry of the upstream as it is stored.
    key: str
    value: bytes


class DepartureRecorded(msgspec.Struct, array_like=True, tag=12, frozen=True):
    """Tells that the record of a departure is in the store."""

    #: Number of the request.
    number: int


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
    | DepartureFrame
    | DepartureRecorded
)
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Frame)


def encode(frame: Frame) -> bytes:
    """Returns an encoded frame with its length prefix."""
    data = _ENCODER.encode(frame)
    return _LENGTH.pack(len(data)) + data


class FrameDecoder:
    """Decodes the byte stream of a link into frames."""

    def __init__(self) -> None:
        """Creates a decoder for the start of a link."""
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Returns the frames that `data` completes.

        Raises:
            msgspec.DecodeError: the bytes are not valid frames; the link must
                be closed.
        """
        buffer = self._buffer
        buffer += data
        frames: list[Frame] = []
        start = 0
        while len(buffer) - start >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(buffer, start)
            if size > MAX_FRAME_BYTES:
                raise msgspec.DecodeError(
                    f"frame of {size} bytes exceeds the limit"
                )
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
