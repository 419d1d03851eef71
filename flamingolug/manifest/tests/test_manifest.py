"""Manifests: what is accepted, what is refused and with which words."""

import itertools
import pathlib
import unittest

from flamingolug import errors
from flamingolug import manifest

_EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
_HEAD = """\
schema_version: 1
deployment: d
services: [a, b]
kinds:
"""
_KIND = "{service: a, rank: 0, worth: 1, deadline_ms: 9, attempts: 2"
_REFUSED = {
    "unknown key": (f"  k: {_KIND}, colour: red}}", ["line 5", "colour"]),
    "duplicate key": (
        f"  k: {_KIND}}}\n  k: {_KIND}}}",
        ["line 6", "duplicate"],
    ),
    "impossible rank": (
        "  k: {service: a, rank: 99, worth: 1, deadline_ms: 9, attempts: 2}",
        ["line 5", "kinds.k.rank", "99"],
    ),
    "unknown service": (
        "  k: {service: z, rank: 0, worth: 1, deadline_ms: 9, attempts: 2}",
        ["kinds.k.service", "'z'"],
    ),
    "unknown call": (f"  k: {_KIND}, calls: [x]}}", ["kinds.k.calls", "'x'"]),
    "calls in a circle": (
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
    def test_examples_are_valid_and_survive_the_stored_form(self) -> None:
        for path in sorted(_EXAMPLES.glob("*.yaml")):
            with self.subTest(path.name):
                found = manifest.load_file(str(path))
                body = manifest.canonical_bytes(found)
                self.assertEqual(manifest.decode(body, "test"), found)

    def test_refusals_name_line_and_key(self) -> None:
        for name, (kinds, words) in _REFUSED.items():
            with self.subTest(name):
                with self.assertRaises(errors.ConfigurationError) as caught:
                    manifest.parse(_HEAD + kinds, "m.yaml")
                for word in words:
                    self.assertIn(word, str(caught.exception))

    def test_a_long_chain_of_doubled_calls_is_summed_quickly(self) -> None:
        """Each kind calls the next twice: 2^40 paths, but few kinds."""
        lines = [
            f"  k{index}: {_KIND}, calls: [k{index + 1}, k{index + 1}]}}"
            for index in range(40)
        ]
        with self.assertRaises(errors.ConfigurationError) as caught:
            manifest.parse(
                _HEAD + "\n".join(lines) + f"\n  k40: {_KIND}}}", "m.yaml"
            )
        self.assertIn("too few", str(caught.exception))

    def test_order_is_rank_then_paid_then_density(self) -> None:
        found = manifest.load_file(str(_EXAMPLES / "kyparissi.yaml"))
        shedding_order = manifest.build_shedding_order(found)
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
        levels = [
            shedding_order.level(kind, nested, 63) for kind, nested in order
        ]
        self.assertEqual(levels, sorted(levels))
        for (kind, nested), (later, later_nested) in itertools.pairwise(order):
            self.assertLess(
                shedding_order.level(kind, nested, 63),
                shedding_order.level(later, later_nested, 0),
            )
