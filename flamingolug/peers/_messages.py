"""Messages between nodes, MessagePack maps with short keys.

A frame of two bytes, format version and type, goes in front. A reader ignores
keys that it does not know, so that a newer version may add some.
"""

import enum
from typing import Any
from typing import NotRequired
from typing import TypedDict

import msgspec

from flamingolug import errors

FORMAT_VERSION = 1
#: Largest head of a message; bodies travel in a frame of their own.
MAX_HEAD_BYTES = 1_048_576


class MessageType(enum.IntEnum):
    """Second byte of the first frame."""

    CALL = 1
    ANSWER = 2
    CANCEL = 3
    SETTLE = 4
    SETTLED = 5
    PING = 6
    PONG = 7
    FETCH = 8
    MANIFEST = 9
    OUTCOME = 10
    VOTE = 11
    VOTED = 12
    HANDOVER = 13
    RECORDS = 14


class LoadReport(TypedDict):
    """What a node tells of the upstream beside it."""

    #: Node name and incarnation.
    name: str
    inc: int
    #: Concurrency limit, calls in flight, calls waiting.
    limit: int
    run: int
    wait: int
    #: Highest level admitted, and the manifest revision it refers to.
    cut: int
    rev: int
    leaving: bool
    #: Services called from here: the highest level that they admit, and the
    #: milliseconds since that was observed.
    deep: dict[str, tuple[int, int]]


class CallMessage(TypedDict):
    """A call for the upstream beside the receiver; its body follows."""

    #: Number of the call, unique within the sender's incarnation.
    id: int
    #: Incarnation of the sender, and of the receiver it is meant for.
    org: int
    to: int
    #: Identity and kind of the request that entered the fleet.
    root: str
    rkind: str
    kind: str
    #: Backend servers that already work for the request.
    depth: int
    spread: int
    method: str
    path: str
    headers: list[tuple[str, str]]
    key: str
    #: Seconds since the epoch when the key was made, 0 when unknown.
    born: float
    caller: str
    #: Milliseconds until the deadline.
    left: float
    #: Attempts that this call may use, itself included.
    share: int
    rev: int


class AnswerMessage(TypedDict):
    """Outcome of a call; the response body follows."""

    id: int
    verdict: str
    reason: str
    step: str
    peer: str
    status: int
    headers: list[tuple[str, str]]
    #: Attempts used, the call itself included.
    used: int
    load: NotRequired[LoadReport]


class CancelMessage(TypedDict):
    """Nobody waits for the call any more."""

    id: int
    org: int


class SettleMessage(TypedDict):
    """Asks what became of a call whose link was lost, and bars it."""

    id: int
    org: int
    to: int


class SettledMessage(TypedDict):
    """What became of a call.

    `barred`: never ran and never will; `running`: its answer will follow;
    `foreign`: this incarnation never had it, an earlier one may have run it.
    """

    id: int
    state: str


class MemberMessage(TypedDict):
    """One node as gossip knows it."""

    name: str
    inc: int
    zone: str
    region: str
    http: str
    peer: str
    service: str
    #: alive, suspect, dead or left; `ver` orders reports of one incarnation.
    state: str
    ver: int
    own: bool


class PingMessage(TypedDict):
    """Heartbeat with gossip; answered by the same message as PONG."""

    id: int
    load: LoadReport
    #: Manifest revision and digest in force at the sender.
    rev: int
    digest: str
    members: list[MemberMessage]
    #: Checksum of the sender's table of present members.
    sum: int
    #: Asks for all members.
    join: NotRequired[bool]


class FetchMessage(TypedDict):
    """Asks for the manifest in force."""

    id: int


class ManifestMessage(TypedDict):
    """The manifest in force; its bytes follow."""

    id: int
    rev: int
    digest: str


class VoteMessage(TypedDict):
    """Asks for a vote in a view of the owners of a service's keys."""

    id: int
    name: str
    svc: str
    epoch: int
    #: Members of the view, where the receiver may not know it.
    members: NotRequired[list[str]]


class VotedMessage(TypedDict):
    """Answers a vote; `members` belong to `epoch`, the receiver's own."""

    id: int
    name: str
    epoch: int
    granted: bool
    members: NotRequired[list[str]]


class RecordMessage(TypedDict):
    """What became of one key."""

    key: str
    print: bytes
    verdict: str
    status: int
    headers: list[tuple[str, str]]
    body: bytes
    reason: str
    #: Seconds since it began.
    age: float


class HandoverMessage(TypedDict):
    """Asks for the records of keys that the sender now owns."""

    id: int
    name: str
    svc: str
    epoch: int
    members: list[str]


class RecordsMessage(TypedDict):
    """Answers a handover; `complete` only if the epoch was adopted.

    The body holds the records.
    """

    id: int
    complete: bool


class OutcomeMessage(TypedDict):
    """Asks what became of an idempotency key."""

    id: int
    key: str


Message = (
    CallMessage
    | AnswerMessage
    | CancelMessage
    | SettleMessage
    | SettledMessage
    | PingMessage
    | FetchMessage
    | ManifestMessage
    | OutcomeMessage
    | VoteMessage
    | VotedMessage
    | HandoverMessage
    | RecordsMessage
)

_TYPES: dict[MessageType, Any] = {
    MessageType.CALL: CallMessage,
    MessageType.ANSWER: AnswerMessage,
    MessageType.CANCEL: CancelMessage,
    MessageType.SETTLE: SettleMessage,
    MessageType.SETTLED: SettledMessage,
    MessageType.PING: PingMessage,
    MessageType.PONG: PingMessage,
    MessageType.FETCH: FetchMessage,
    MessageType.MANIFEST: ManifestMessage,
    MessageType.OUTCOME: OutcomeMessage,
    MessageType.VOTE: VoteMessage,
    MessageType.VOTED: VotedMessage,
    MessageType.HANDOVER: HandoverMessage,
    MessageType.RECORDS: RecordsMessage,
}
_DECODERS = {
    kind: msgspec.msgpack.Decoder(shape) for kind, shape in _TYPES.items()
}
_ENCODER = msgspec.msgpack.Encoder()
_PREFIXES = {kind: bytes((FORMAT_VERSION, kind)) for kind in MessageType}


def encode(
    kind: MessageType, message: Message, body: bytes = b""
) -> list[bytes]:
    """Returns the frames of a message."""
    return [_PREFIXES[kind], _ENCODER.encode(message), body]


def decode(frames: list[bytes]) -> tuple[MessageType, Any, bytes]:
    """Returns type, message and body of the frames.

    Raises:
        CodecError: unknown version or type, or a malformed message.
    """
    if len(frames) != 3:
        raise errors.CodecError(
            f"{len(frames)} frames, expected 3", step="peer.decode"
        )
    prefix, head, body = frames
    if len(prefix) != 2 or prefix[0] != FORMAT_VERSION:
        raise errors.CodecError(
            f"unknown format {prefix[:2].hex()}", step="peer.decode"
        )
    if len(head) > MAX_HEAD_BYTES:
        raise errors.CodecError(
            f"head of {len(head)} bytes passes {MAX_HEAD_BYTES}",
            step="peer.decode",
        )
    try:
        kind = MessageType(prefix[1])
        return kind, _DECODERS[kind].decode(head), body
    except (ValueError, msgspec.MsgspecError) as exc:
        raise errors.CodecError(str(exc), step="peer.decode") from exc


_RECORDS_DECODER = msgspec.msgpack.Decoder(list[RecordMessage])


def encode_records(records: list[RecordMessage]) -> bytes:
    """Returns the body of a RECORDS message."""
    return _ENCODER.encode(records)


def decode_records(body: bytes) -> list[RecordMessage]:
    """Returns the records in a body.

    Raises:
        CodecError: it is malformed.
    """
    try:
        return _RECORDS_DECODER.decode(body)
    except msgspec.MsgspecError as exc:
        raise errors.CodecError(str(exc), step="peer.records") from exc
