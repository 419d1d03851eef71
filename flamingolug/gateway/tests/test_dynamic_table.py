"""Short numbers for what a link repeats."""

import unittest

import msgspec

from flamingolug import http1
from flamingolug.gateway import _dynamic_table
from flamingolug.gateway import _frames

_HEADERS: http1.Headers = [
    (b"host", b"shop.example"),
    (b"accept", b"*/*"),
]


class DynamicTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.encoder = _dynamic_table.TableEncoder()
        self.decoder = _dynamic_table.TableDecoder()

    def _carry(self, headers: http1.Headers) -> int:
        """Sends headers over; returns the bytes that they took."""
        data = msgspec.msgpack.encode(self.encoder.encode_headers(headers))
        fields = msgspec.msgpack.decode(data, type=list[_dynamic_table.Field])
        self.assertEqual(self.decoder.decode_headers(fields), headers)
        return len(data)

    def test_values_come_back_whole(self) -> None:
        for value in (b"a", b"b", b"a", b"a", b"", b"b", b"b", b"\xff", b"a"):
            token = self.encoder.encode(value)
            self.assertEqual(self.decoder.decode(token), value)

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
        for number in range(_dynamic_table.MAX_VALUES * 2):
            self.assertEqual(
                self.encoder.encode(b"%d" % number), b"%d" % number
            )
        self.encoder.encode(b"often")
        self.assertEqual(self.encoder.encode(b"often"), (b"often",))

    def test_a_full_table_goes_on_with_values(self) -> None:
        for number in range(_dynamic_table.MAX_VALUES + 10):
            for _ in range(3):
                value = b"%d" % number
                self.assertEqual(
                    self.decoder.decode(self.encoder.encode(value)), value
                )
        self._carry(_HEADERS)

    def test_what_the_other_side_never_defined_is_refused(self) -> None:
        self.decoder.decode((b"value",))
        self.decoder.decode_headers([(b"name", b"value", b"")])
        cases: dict[str, _dynamic_table.Field] = {
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
                self.decoder.decode_headers([field])

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
                self.encoder.encode(b"i-dac60ddb9d"),
                self.encoder.encode(b"jecu44a"),
                self.encoder.encode(b"GET"),
                b"/bofi34/4e4f08",
                self.encoder.encode_headers(headers),
                b"",
                1030,
                1030,
                1,
                True,
                self.encoder.encode(b"r-7i78gc8"),
            )
        own = len(frame.request_id) + len(frame.target)
        self.assertLess(len(_frames.encode(frame)) - own, 40)
