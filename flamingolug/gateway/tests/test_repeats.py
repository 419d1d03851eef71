"""Short numbers for what a link repeats."""

import unittest

import msgspec

from flamingolug import http1
from flamingolug.gateway import _frames
from flamingolug.gateway import _repeats

_HEADERS: http1.Headers = [
    (b"host", b"shop.example"),
    (b"accept", b"*/*"),
]


class RepeatsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.writer = _repeats.Writer()
        self.reader = _repeats.Reader()

    def _carry(self, headers: http1.Headers) -> int:
        """Sends headers over; returns the bytes that they took."""
        data = msgspec.msgpack.encode(self.writer.write_fields(headers))
        fields = msgspec.msgpack.decode(data, type=list[_repeats.Field])
        self.assertEqual(self.reader.read_fields(fields), headers)
        return len(data)

    def test_values_come_back_whole(self) -> None:
        for value in (b"a", b"b", b"a", b"a", b"", b"b", b"b", b"\xff", b"a"):
            token = self.writer.write(value)
            self.assertEqual(self.reader.read(token), value)

    def test_repeated_fields_shrink_to_numbers(self) -> None:
        first = self._carry(_HEADERS)
        self._carry(_HEADERS)
        third = self._carry(_HEADERS)
        self.assertGreater(first, 30)
        self.assertLessEqual(third, 1 + len(_HEADERS))

    def test_the_name_of_a_changing_field_is_sent_once_or_twice(self) -> None:
        sizes = [
            self._carry([(b"x-response-seal", b"%032d" % number)])
            for number in range(4)
        ]
        self.assertLess(sizes[-1], 40)

    def test_values_that_come_once_take_no_place(self) -> None:
        for number in range(_repeats.MAX_VALUES * 2):
            self.assertEqual(self.writer.write(b"%d" % number), b"%d" % number)
        self.writer.write(b"often")
        self.assertEqual(self.writer.write(b"often"), (b"often",))

    def test_a_full_table_goes_on_with_values(self) -> None:
        for number in range(_repeats.MAX_VALUES + 10):
            for _ in range(3):
                value = b"%d" % number
                self.assertEqual(
                    self.reader.read(self.writer.write(value)), value
                )
        self._carry(_HEADERS)

    def test_what_the_other_side_never_defined_is_refused(self) -> None:
        self.reader.read((b"value",))
        self.reader.read_fields([(b"name", b"value", b"")])
        cases: dict[str, _repeats.Field] = {
            "unknown number": 7,
            "negative number": -1,
            "value for a field": 0,
            "one part": (b"a",),
            "four parts": (b"a", b"b", b"c", b"d"),
            "field for a value": (1, b"b"),
        }
        for name, field in cases.items():
            with (
                self.subTest(name),
                self.assertRaises(msgspec.DecodeError),
            ):
                self.reader.read_fields([field])

    def test_a_call_of_many_is_short(self) -> None:
        """What a call adds to its id and target on a link in use."""
        headers: http1.Headers = [
            *_HEADERS,
            (b"user-agent", b"sdk-client/1.9.3"),
            (b"accept-encoding", b"identity"),
        ]
        for _ in range(3):
            frame = _frames.CallFrame(
                5000,
                "76e1687a4f48414b.3c2fe3e906898062",
                self.writer.write(b"i-dac60ddb9d"),
                self.writer.write(b"jecu44a"),
                self.writer.write(b"GET"),
                b"/bofi34/4e4f08",
                self.writer.write_fields(headers),
                b"",
                1030,
                1030,
                1,
                True,
                self.writer.write(b"r-7i78gc8"),
            )
        own = len(frame.request_id) + len(frame.target)
        self.assertLess(len(_frames.encode(frame)) - own, 40)
