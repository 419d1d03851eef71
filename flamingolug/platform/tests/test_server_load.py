"""Load header of backend servers."""

import unittest

from flamingolug import gateway
from flamingolug.platform import _server_load


class DecodeLoadTest(unittest.TestCase):
    def test_three_or_four_figures_are_decoded(self) -> None:
        cases = {
            b"3,0,8": gateway.ServerLoad(3, 0, 8, 1.0),
            b"3, 1 ,8,250": gateway.ServerLoad(3, 1, 8, 2.5),
        }
        for value, expected in cases.items():
            with self.subTest(value):
                self.assertEqual(_server_load.decode_load(value), expected)

    def test_malformed_values_are_rejected(self) -> None:
        for value in (
            b"", b"3", b"3,0", b"3,0,8,100,1", b"3,,8", b"-1,0,8", b"3,0,8.5",
            b"3,0,x", b"3,0,1e3", b"9" * 5000 + b",0,8", b"\xb2,0,8",
        ):  # fmt: skip
            with self.subTest(value[:20]):
                self.assertIsNone(_server_load.decode_load(value))
