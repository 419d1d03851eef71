"""Frames of a node of the version before, as during an upgrade."""

import unittest

import msgspec

from flamingolug.gateway import _frames

_LOAD = _frames.LoadFrame(1, 2, [0], 3, 0, 0)


class _FormerHello(msgspec.Struct, array_like=True, tag=1):
    node: str
    zone: str
    version: int
    entries_revision: int


class _FormerPing(msgspec.Struct, array_like=True, tag=5):
    version: int
    entries_revision: int


class _FormerStatus(msgspec.Struct, array_like=True, tag=6):
    version: int
    entries_revision: int
    upstream_id: str
    load: _frames.LoadFrame


class _FormerEntriesRequest(msgspec.Struct, array_like=True, tag=9):
    after_revision: int


class _FormerEntryFrame(msgspec.Struct, array_like=True):
    key: str
    value: bytes
    revision: int


class _FormerEntriesFrame(msgspec.Struct, array_like=True, tag=10):
    entries: list[_FormerEntryFrame]
    departures: list[_FormerEntryFrame] = []


_FORMER_ENTRY = _FormerEntryFrame("k", b"v", 9)
_ENTRY = _frames.EntryFrame("k", b"v", 9)
#: Frames as the version before sends them, and as this one reads them.
_FORMER: tuple[tuple[msgspec.Struct, _frames.Frame], ...] = (
    (_FormerHello("n", "z", 3, 9), _frames.Hello("n", "z", 3, 9)),
    (_FormerPing(3, 9), _frames.Ping(3, 9)),
    (_FormerStatus(3, 9, "u", _LOAD), _frames.Status(3, 9, "u", _LOAD)),
    (_FormerEntriesRequest(9), _frames.EntriesRequest(9)),
    (
        _FormerEntriesFrame([_FORMER_ENTRY], [_FORMER_ENTRY]),
        _frames.EntriesFrame([_ENTRY], [_ENTRY]),
    ),
)


class UpgradeTest(unittest.TestCase):
    def test_frames_of_the_version_before_have_the_defaults(self) -> None:
        for former, expected in _FORMER:
            with self.subTest(type(expected)):
                data = msgspec.msgpack.encode(former)
                frame = _frames.FrameDecoder().feed(
                    len(data).to_bytes(4, "big") + data
                )
                self.assertEqual(frame, [expected])

    def test_version_before_reads_frames_with_further_fields(self) -> None:
        entry = _frames.EntryFrame("k", b"v", 9, 2)
        frames: tuple[_frames.Frame, ...] = (
            _frames.Hello("n", "z", 3, 9, 2),
            _frames.Ping(3, 9, 2),
            _frames.Status(3, 9, "u", _LOAD, 2),
            _frames.EntriesRequest(9, True, 2),
            _frames.EntriesFrame([entry], [entry], True),
        )
        for frame, (former, _) in zip(frames, _FORMER, strict=True):
            with self.subTest(type(frame)):
                data = _frames.encode(frame)[4:]
                read = msgspec.msgpack.decode(data, type=type(former))
                self.assertEqual(read, former)
