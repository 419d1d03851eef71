"""Messages between nodes.

A message consists of three frames: two bytes for the format version and the
type, the head, which is a MessagePack map with short keys, and a body that may
be empty. A receiver ignores unknown keys, so that a newer version of the
program may add keys without a new format version.
"""

import enum
from typing import Any
from typing import NotRequired
from typing import TypedDict

import msgspec

from flamingolug import errors

FORMAT_VERSION = 1
#: Maximum size of the head. The body has a frame of its own and is not counted.
MAX_HEAD_BYTES = 1_048_576


class MessageType(enum.IntEnum):
    """Type of a message, the second byte of its first frame."""

    CALL = 1
    ANSWER = 2
    CANCEL = 3
    SETTLE = 4
    SETTLED = 5
    PING = 6
    PONG = 7
    FETCH = 8
    MANIFEST = 9
    #: Request for a recorded outcome; the reply is an ANSWER.
    OUTCOME = 10
    VOTE = 11
    VOTED = 12
    HANDOVER = 13
    #: Outcome records; the reply to a HANDOVER.
    RECORDS = 14


class LoadReport(TypedDict):
    """Load of the upstream beside a node."""

    #: Name of the node.
    name: str
    #: Incarnation of the node.
    inc: int
    #: Concurrency limit.
    limit: int
    #: Number of calls in flight.
    run: int
    #: Number of queued calls.
    wait: int
    #: Highest level that is admitted.
    cut: int
    #: Manifest revision that defines the levels.
    rev: int
    #: Whether the upstream accepts no new calls.
    leaving: bool
    #: For each called service, the highest level that it admits and the
    #: milliseconds since this was observed.
    deep: dict[str, tuple[int, int]]


class CallMessage(TypedDict):
    """Call to the upstream beside the receiver; the body is the request's."""

    #: Identifier of the call, unique within the sender's incarnation.
    id: int
    #: Incarnation of the sender.
    org: int
    #: Incarnation of the receiver that the call is addressed to.
    to: int
    #: Identifier of the root request, which entered the fleet from outside.
    root: str
    #: Kind of the root request.
    rkind: str
    #: Kind of this call.
    kind: str
    #: Number of backend servers that already process the root request.
    depth: int
    #: Tie-break of the root request among those of equal importance.
    spread: int
    method: str
    path: str
    headers: list[tuple[str, str]]
    #: Hash of the idempotency key and its scope, empty without a key.
    key: str
    #: Unix time at which the key was created, 0 if unknown.
    born: float
    caller: str
    #: Milliseconds until the deadline.
    left: float
    #: Maximum number of attempts for this call, including itself.
    share: int
    #: Revision of the sender's active manifest.
    rev: int


class AnswerMessage(TypedDict):
    """Answer with the outcome of a call; the body is the response's."""

    #: Identifier of the call, or of the `OutcomeRequestMessage`.
    id: int
    #: Whether the call ran: answered, not-run or unknown.
    verdict: str
    #: Reason for a refusal or an unknown outcome; empty if answered.
    reason: str
    #: Processing step in which the reason arose.
    step: str
    #: Name or address of the peer that the reason concerns.
    peer: str
    #: HTTP status of the response, 0 if there is none.
    status: int
    headers: list[tuple[str, str]]
    #: Number of attempts made, including the call itself.
    used: int
    load: NotRequired[LoadReport]


class CancelMessage(TypedDict):
    """Cancels a call for which the sender no longer waits."""

    #: Identifier of the call.
    id: int
    #: Incarnation of the sender.
    org: int


class SettleMessage(TypedDict):
    """Requests the state of a call after its connection was replaced.

    The receiver bars the call if it has not received it.
    """

    #: Identifier of the call.
    id: int
    #: Incarnation of the sender.
    org: int
    #: Incarnation of the receiver that the call was addressed to.
    to: int


class SettledMessage(TypedDict):
    """State of a call, the answer to `SettleMessage`.

    `barred`: the call has not run and will not run. `running`: its answer will
    follow. `foreign`: this incarnation has no record of the call; it or an
    earlier one may have run it.
    """

    #: Identifier of the call.
    id: int
    #: barred, running or foreign.
    state: str


class MemberMessage(TypedDict):
    """Record of one node in the gossip protocol."""

    name: str
    inc: int
    zone: str
    region: str
    #: Address of the node's HTTP listener.
    http: str
    #: Address of the node's endpoint for peers.
    peer: str
    #: Service of the backend server beside the node; empty if there is none.
    service: str
    #: alive, suspect, dead or left.
    state: str
    #: Version, which orders the records of one incarnation.
    ver: int
    #: Whether the node may own keys.
    own: bool


class PingMessage(TypedDict):
    """Heartbeat; a PONG message with the same fields answers it."""

    id: int
    load: LoadReport
    #: Revision of the sender's active manifest.
    rev: int
    #: Digest of the sender's active manifest.
    digest: str
    #: Changed member records; all records in the answer to a message with
    #: `join` and when tables are exchanged.
    members: list[MemberMessage]
    #: Checksum of the present members in the sender's table.
    sum: int
    #: Whether the sender requests the member records of the whole fleet.
    join: NotRequired[bool]


class FetchMessage(TypedDict):
    """Requests the active manifest."""

    id: int


class ManifestMessage(TypedDict):
    """Active manifest; the body is its stored form."""

    id: int
    rev: int
    digest: str


class VoteMessage(TypedDict):
    """Requests a vote for an ownership lease."""

    id: int
    #: Name of the sender.
    name: str
    #: Service whose keys the lease is for.
    svc: str
    #: Epoch of the view that the sender has adopted.
    epoch: int
    #: Members of that view, present if the receiver may not have adopted it.
    members: NotRequired[list[str]]


class VotedMessage(TypedDict):
    """Answer to `VoteMessage`."""

    id: int
    #: Name of the voter.
    name: str
    #: Epoch of the view that the voter has adopted.
    epoch: int
    granted: bool
    #: Members of that view, present if its epoch is not the requested one.
    members: NotRequired[list[str]]


class OutcomeRecord(TypedDict):
    """Outcome recorded for one idempotency key."""

    key: str
    #: Fingerprint of the call.
    print: bytes
    #: Whether the call ran: answered, not-run or unknown.
    verdict: str
    status: int
    headers: list[tuple[str, str]]
    body: bytes
    reason: str
    #: Seconds since the call began.
    age: float


class HandoverMessage(TypedDict):
    """Requests the outcomes of keys that a view change gave to the sender."""

    id: int
    #: Incarnation identifier of the sender.
    name: str
    svc: str
    #: Epoch of the view that the sender has adopted.
    epoch: int
    #: Members of that view.
    members: list[str]


class OutcomeRecordsMessage(TypedDict):
    """Answer to `HandoverMessage`; the body contains the outcome records."""

    id: int
    #: Whether the sender of the answer has adopted the requested epoch; if not,
    #: the body contains no outcome records.
    complete: bool


class OutcomeRequestMessage(TypedDict):
    """Requests the recorded outcome of a key; `AnswerMessage` answers it."""

    id: int
    #: Hash of the idempotency key and its scope.
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
    | OutcomeRequestMessage
    | VoteMessage
    | VotedMessage
    | HandoverMessage
    | OutcomeRecordsMessage
)

_MESSAGE_CLASSES: dict[MessageType, Any] = {
    MessageType.CALL: CallMessage,
    MessageType.ANSWER: AnswerMessage,
    MessageType.CANCEL: CancelMessage,
    MessageType.SETTLE: SettleMessage,
    MessageType.SETTLED: SettledMessage,
    MessageType.PING: PingMessage,
    MessageType.PONG: PingMessage,
    MessageType.FETCH: FetchMessage,
    MessageType.MANIFEST: ManifestMessage,
    MessageType.OUTCOME: OutcomeRequestMessage,
    MessageType.VOTE: VoteMessage,
    MessageType.VOTED: VotedMessage,
    MessageType.HANDOVER: HandoverMessage,
    MessageType.RECORDS: OutcomeRecordsMessage,
}
_DECODERS = {
    message_type: msgspec.msgpack.Decoder(message_class)
    for message_type, message_class in _MESSAGE_CLASSES.items()
}
_ENCODER = msgspec.msgpack.Encoder()
_PREFIXES = {
    message_type: bytes((FORMAT_VERSION, message_type))
    for message_type in MessageType
}


def encode(
    message_type: MessageType, message: Message, body: bytes = b""
) -> list[bytes]:
    """Returns the three frames of a message."""
    return [_PREFIXES[message_type], _ENCODER.encode(message), body]


def decode(frames: list[bytes]) -> tuple[MessageType, Any, bytes]:
    """Returns the type, the decoded head and the body of a message.

    Raises:
        CodecError: the version or type is unknown, or the message is malformed.
    """
    if len(frames) != 3:
        raise errors.CodecError(
            f"message has {len(frames)} frames, expected 3", step="peer.decode"
        )
    prefix, head, body = frames
    if len(prefix) != 2 or prefix[0] != FORMAT_VERSION:
        raise errors.CodecError(
            f"unsupported message format {prefix[:2].hex()}", step="peer.decode"
        )
    if len(head) > MAX_HEAD_BYTES:
        raise errors.CodecError(
            f"head of {len(head)} bytes exceeds the limit of {MAX_HEAD_BYTES}",
            step="peer.decode",
        )
    try:
        message_type = MessageType(prefix[1])
        return message_type, _DECODERS[message_type].decode(head), body
    except (ValueError, msgspec.MsgspecError) as exc:
        raise errors.CodecError(str(exc), step="peer.decode") from exc


_RECORDS_DECODER = msgspec.msgpack.Decoder(list[OutcomeRecord])


def encode_records(records: list[OutcomeRecord]) -> bytes:
    """Returns the body of a RECORDS message."""
    return _ENCODER.encode(records)


def decode_records(body: bytes) -> list[OutcomeRecord]:
    """Returns the outcome records in the body of a RECORDS message.

    Raises:
        CodecError: the body is malformed.
    """
    try:
        return _RECORDS_DECODER.decode(body)
    except msgspec.MsgspecError as exc:
        raise errors.CodecError(str(exc), step="peer.records") from exc
