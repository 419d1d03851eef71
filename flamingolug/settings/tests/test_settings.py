"""Tests of settings: defaults and messages for invalid values."""

import unittest

from flamingolug import errors
from flamingolug import settings

_VALID = """\
name: n1
region: r
availability_zone: z
http_address: 127.0.0.1:8001
peer_address: 127.0.0.1:9001
peer_key: 0123456789abcdef
"""
_REJECTED = {
    "unknown key": (_VALID + "colour: red\n", ["line 7", "colour", "allowed"]),
    "no port": (
        _VALID.replace("127.0.0.1:8001", "localhost"),
        ["line 4", "http_address"],
    ),
    "port out of range": (
        _VALID.replace(":8001", ":99999"),
        ["http_address", "65535"],
    ),
    "short key": (
        _VALID.replace("0123456789abcdef", "short"),
        ["line 6", "peer_key"],
    ),
    "missing key": (_VALID.replace("region: r\n", ""), ["region"]),
    "empty": ("", ["empty"]),
}


class SettingsTest(unittest.TestCase):
    def test_defaults_are_filled_in(self) -> None:
        parsed = settings.parse(_VALID, "s.yaml")
        self.assertEqual(
            parsed.http_address, settings.Address("127.0.0.1", 8001)
        )
        self.assertEqual(parsed.peer_bind_address, parsed.peer_address)
        self.assertEqual(parsed.control, "full")

    def test_invalid_settings_are_rejected_with_source_and_cause(self) -> None:
        for name, (text, fragments) in _REJECTED.items():
            with self.subTest(name):
                with self.assertRaises(errors.ConfigurationError) as raised:
                    settings.parse(text, "s.yaml")
                for fragment in ["s.yaml", *fragments]:
                    self.assertIn(fragment, str(raised.exception))
