"""Decoding of peer messages: malformed data, versions, unknown fields."""

import unittest

import hypothesis
import msgspec
from hypothesis import strategies

from flamingolug import errors
from flamingolug import peers

# Imported because it registers and loads the hypothesis profile.
from flamingolug.policy.tests import test_properties  # noqa: F401


class MessagesTest(unittest.TestCase):
    @hypothesis.given(strategies.lists(strategies.binary(), max_size=5))
    def test_random_frames_are_decoded_or_raise_a_codec_error(
        self, frames: list[bytes]
    ) -> None:
        try:
            peers.decode(frames)
        except errors.CodecError:
            return
        self.assertEqual(len(frames), 3)

    @hypothesis.given(
        strategies.sampled_from(list(peers.MessageType)), strategies.binary()
    )
    def test_valid_prefix_with_a_malformed_head_is_refused(
        self, message_type: peers.MessageType, head: bytes
    ) -> None:
        with self.assertRaises(errors.CodecError):
            # MessagePack never uses the byte 0xC1.
            peers.decode([bytes((1, message_type)), b"\xc1" + head, b""])

    def test_unknown_format_version_is_refused(self) -> None:
        frames = peers.encode(peers.MessageType.FETCH, {"id": 1})
        frames[0] = bytes((2, frames[0][1]))
        with self.assertRaises(errors.CodecError):
            peers.decode(frames)

    def test_unknown_field_of_a_newer_version_is_ignored(self) -> None:
        frames = peers.encode(peers.MessageType.CANCEL, {"id": 1, "org": 2})
        head = msgspec.msgpack.decode(frames[1])
        head["added-later"] = [1, 2, 3]
        frames[1] = msgspec.msgpack.encode(head)
        _, message, _ = peers.decode(frames)
        self.assertEqual((message["id"], message["org"]), (1, 2))

    def test_missing_field_is_refused(self) -> None:
        frames = peers.encode(peers.MessageType.FETCH, {"id": 1})
        frames[1] = msgspec.msgpack.encode({})
        with self.assertRaises(errors.CodecError):
            peers.decode(frames)
