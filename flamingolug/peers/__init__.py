"""Links between nodes that carry authenticated messages over ZeroMQ."""

from flamingolug.peers._endpoint import Endpoint
from flamingolug.peers._endpoint import InboundMessage
from flamingolug.peers._keys import derive_keys
from flamingolug.peers._keys import PeerKeys
from flamingolug.peers._link import Link
from flamingolug.peers._link import LinkOptions
from flamingolug.peers._link import Links
from flamingolug.peers._link import make_id_source
from flamingolug.peers._messages import AnswerMessage
from flamingolug.peers._messages import CallMessage
from flamingolug.peers._messages import CancelMessage
from flamingolug.peers._messages import decode
from flamingolug.peers._messages import decode_records
from flamingolug.peers._messages import encode
from flamingolug.peers._messages import encode_records
from flamingolug.peers._messages import FetchMessage
from flamingolug.peers._messages import HandoverMessage
from flamingolug.peers._messages import LoadReport
from flamingolug.peers._messages import ManifestMessage
from flamingolug.peers._messages import MemberMessage
from flamingolug.peers._messages import Message
from flamingolug.peers._messages import MessageType
from flamingolug.peers._messages import OutcomeRecord
from flamingolug.peers._messages import OutcomeRecordsMessage
from flamingolug.peers._messages import OutcomeRequestMessage
from flamingolug.peers._messages import PingMessage
from flamingolug.peers._messages import SettledMessage
from flamingolug.peers._messages import SettleMessage
from flamingolug.peers._messages import VotedMessage
from flamingolug.peers._messages import VoteMessage
from flamingolug.peers._traffic import Traffic

__all__ = [
    "AnswerMessage",
    "CallMessage",
    "CancelMessage",
    "Endpoint",
    "FetchMessage",
    "HandoverMessage",
    "InboundMessage",
    "Link",
    "LinkOptions",
    "Links",
    "LoadReport",
    "ManifestMessage",
    "MemberMessage",
    "Message",
    "MessageType",
    "OutcomeRecord",
    "OutcomeRecordsMessage",
    "OutcomeRequestMessage",
    "PeerKeys",
    "PingMessage",
    "SettleMessage",
    "SettledMessage",
    "Traffic",
    "VoteMessage",
    "VotedMessage",
    "decode",
    "decode_records",
    "derive_keys",
    "encode",
    "encode_records",
    "make_id_source",
]
