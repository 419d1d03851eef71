"""Tests of the dynamic table of a link."""

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

    def _round_trip(self, headers: http1.Headers) -> int:
        """Encodes and decodes headers; returns their encoded size."""
        data = msgspec.msgpack.encode(self.encoder.encode_headers(headers))
        fields = msgspec.msgpack.decode(data, type=list[_dynamic_table.Field])
        self.assertEqual(self.decoder.decode_headers(fields), headers)
        return len(data)

    def test_decoding_restores_encoded_values(self) -> None:
        for value in (b"a", b"b", b"a", b"a", b"", b"b", b"b", b"\xff", b"a"):
            token = self.encoder.encode(value)
            self.assertEqual(self.decoder.decode(token), value)

    def test_repeated_fields_are_sent_as_indexes(self) -> None:
        first = self._round_trip(_HEADERS)
        self._round_trip(_HEADERS)
        third = self._round_trip(_HEADERS)
        self.assertGreater(first, 30)
        self.assertLessEqual(third, 1 + len(_HEADERS))

    def test_name_of_a_changing_field_is_sent_at_most_twice(self) -> None:
        sizes = [
            self._round_trip([(b"x-response-seal", b"%032d" % number)])
            for number in range(4)
        ]
        self.assertLess(sizes[-1], 40)

    def test_values_sent_once_are_not_added_to_the_table(self) -> None:
        for number in range(_dynamic_table.MAX_VALUES * 2):
            self.assertEqual(
                self.encoder.encode(b"%d" % number), b"%d" % number
            )
        self.encoder.encode(b"often")
        self.assertEqual(self.encoder.encode(b"often"), (b"often",))

    def test_values_are_restored_when_the_table_is_full(self) -> None:
        for number in range(_dynamic_table.MAX_VALUES + 10):
            for _ in range(3):
                value = b"%d" % number
                self.assertEqual(
                    self.decoder.decode(self.encoder.encode(value)), value
                )
        self._round_trip(_HEADERS)

    def test_invalid_fields_raise_decode_error(self) -> None:
        self.decoder.decode((b"value",))
        self.decoder.decode_headers([(b"name", b"value", b"")])
        cases: dict[str, _dynamic_table.Field] = {
            "unknown index": 7,
            "negative index": -1,
            "single value for a header field": 0,
            "one part": (b"a",),
            "four parts": (b"a", b"b", b"c", b"d"),
            "header field for a single value": (1, b"b"),
        }
        for name, field in cases.items():
            with (
                self.subTest(name),
                self.assertRaises(msgspec.DecodeError),
            ):
                self.decoder.decode_headers([field])

    def test_repeated_call_has_a_small_encoded_size(self) -> None:
        """Overhead beyond id and target once repeated values have indexes."""
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
        uncompressed = len(frame.request_id) + len(frame.target)
        self.assertLess(len(_frames.encode(frame)) - uncompressed, 40)
