"""Tests of parsing manifests, of error messages and of the shedding order."""

import itertools
import pathlib
import unittest

from flamingolug import errors
from flamingolug import manifest

_EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
_HEADER = """\
schema_version: 1
deployment: d
services: [a, b]
kinds:
"""
#: Fields of a valid kind, without the closing brace, so that tests can add
#: fields.
_KIND = "{service: a, rank: 0, worth: 1, deadline_ms: 9, attempts: 2"
_REJECTED = {
    "unknown key": (f"  k: {_KIND}, colour: red}}", ["line 5", "colour"]),
    "duplicate key": (
        f"  k: {_KIND}}}\n  k: {_KIND}}}",
        ["line 6", "duplicate"],
    ),
    "rank out of range": (
        "  k: {service: a, rank: 99, worth: 1, deadline_ms: 9, attempts: 2}",
        ["line 5", "kinds.k.rank", "99"],
    ),
    "unknown service": (
        "  k: {service: z, rank: 0, worth: 1, deadline_ms: 9, attempts: 2}",
        ["kinds.k.service", "'z'"],
    ),
    "unknown call": (f"  k: {_KIND}, calls: [x]}}", ["kinds.k.calls", "'x'"]),
    "cyclic calls": (
        f"  k: {_KIND}, calls: [j]}}\n  j: {_KIND}, calls: [k]}}",
        ["calls itself"],
    ),
    "too few attempts": (
        f"  k: {_KIND}, calls: [j, j]}}\n  j: {_KIND}}}",
        ["kinds.k.attempts", "3 attempts"],
    ),
    "no kinds": ("  {}", ["kinds"]),
    "not YAML": ("  k: [", ["not valid YAML"]),
}


class ManifestTest(unittest.TestCase):
    def test_examples_are_valid_and_decode_to_the_same_manifest(self) -> None:
        for path in sorted(_EXAMPLES.glob("*.yaml")):
            with self.subTest(path.name):
                parsed = manifest.load_file(str(path))
                body = manifest.canonical_bytes(parsed)
                self.assertEqual(manifest.decode(body, "test"), parsed)

    def test_invalid_manifest_is_rejected_with_its_cause(self) -> None:
        for name, (kinds, fragments) in _REJECTED.items():
            with self.subTest(name):
                with self.assertRaises(errors.ConfigurationError) as raised:
                    manifest.parse(_HEADER + kinds, "m.yaml")
                for fragment in fragments:
                    self.assertIn(fragment, str(raised.exception))

    def test_attempts_of_2_to_the_40_call_paths_are_summed_quickly(
        self,
    ) -> None:
        """Guards against a time that grows with paths instead of kinds.

        Each of 40 kinds calls the next twice.
        """
        lines = [
            f"  k{index}: {_KIND}, calls: [k{index + 1}, k{index + 1}]}}"
            for index in range(40)
        ]
        with self.assertRaises(errors.ConfigurationError) as raised:
            manifest.parse(
                _HEADER + "\n".join(lines) + f"\n  k40: {_KIND}}}", "m.yaml"
            )
        self.assertIn("too few", str(raised.exception))

    def test_levels_are_ordered_by_rank_then_nesting_then_worth_density(
        self,
    ) -> None:
        parsed = manifest.load_file(str(_EXAMPLES / "kyparissi.yaml"))
        shedding_order = manifest.build_shedding_order(parsed)
        order = [
            ("renew-box", True),
            ("renew-box", False),
            ("confirm-shipment", True),
            ("order-box", True),
            ("confirm-shipment", False),
            ("browse-scents", True),
            ("browse-scents", False),
            ("download-guide", False),
        ]
        # 63 is the highest tie-break, 0 the lowest.
        levels = [
            shedding_order.level(kind, nested, 63) for kind, nested in order
        ]
        self.assertEqual(levels, sorted(levels))
        for (kind, nested), (later, later_nested) in itertools.pairwise(order):
            self.assertLess(
                shedding_order.level(kind, nested, 63),
                shedding_order.level(later, later_nested, 0),
            )
