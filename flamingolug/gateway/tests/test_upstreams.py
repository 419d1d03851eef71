"""Choice among the many upstreams of a large service.

Pattern: best of a few random choices, own availability zone first. The cost of
a choice must not grow with the service, and every upstream must be chosen at
times.
"""

import collections
import random
import types
import unittest
from typing import Any
from typing import cast

from flamingolug import store
from flamingolug.gateway import _balance
from flamingolug.gateway import _directory
from flamingolug.gateway import _model
from flamingolug.gateway import _upstreams

_ROUTE = _model.Route("r", "h", "/", (("s", 1.0),), True, 2.0, 1.0, 2, 1)


class _Node:
    """A node with upstreams in its own zone and in another one."""

    def __init__(self, own_zone: int, other_zone: int) -> None:
        self.time_s = 100.0
        timers: Any = types.SimpleNamespace(now=lambda: self.time_s)
        rng = random.Random(4)
        self.directory = _directory.Directory(
            _directory.Dependencies(
                "z0",
                rng,
                cast(store.LeasedStore, None),
                timers,
                lambda upstream: False,
                lambda key: None,
                lambda departed: None,
                lambda: None,
                lambda: 0.0,
                lambda: 0.0,
                lambda departed: None,
                lambda: None,
            )
        )
        for number in range(own_zone + other_zone):
            self.add_entry(number, "z0" if number < own_zone else "z1")
        cfg: Any = types.SimpleNamespace(
            identity=types.SimpleNamespace(zone="z0"), link=("own", 1)
        )
        links: Any = types.SimpleNamespace(is_live=lambda address: False)
        self.upstreams = _upstreams.Upstreams(
            _upstreams.Dependencies(
                cfg, self.directory, cast(Any, None), links, timers, rng
            )
        )

    def add_entry(
        self,
        number: int,
        zone: str,
        state: _model.UpstreamState = _model.UpstreamState.READY,
    ) -> None:
        """Adds the entry of an upstream to the directory."""
        upstream = _model.Upstream(
            f"u{number}", "s", zone, f"10.0.0.{number}", 1, 10, state, 1, 1
        )
        self.directory.apply(
            store.Item(
                _directory.PREFIX + upstream.id,
                _directory.encode_entry(upstream),
                store.Position(1, number + 1),
            )
        )

    def choose(self, tried: frozenset[str] = frozenset()) -> str:
        """Returns the chosen upstream's identity, empty for none."""
        chosen = self.upstreams.choose("s", _ROUTE, tried)
        return chosen.id if chosen else ""


class SampleTest(unittest.TestCase):
    def test_no_upstream_is_offered_a_request_twice(self) -> None:
        node = _Node(2, 2)
        tried: set[str] = set()
        for _ in range(4):
            chosen = node.choose(frozenset(tried))
            self.assertNotIn(chosen, tried)
            self.assertTrue(chosen)
            tried.add(chosen)
        self.assertEqual(node.choose(frozenset(tried)), "")

    def test_upstreams_of_the_own_zone_are_preferred(self) -> None:
        node = _Node(3, 40)
        chosen = {node.choose() for _ in range(200)}
        self.assertLessEqual(chosen, {"u0", "u1", "u2"})

    def test_calls_spread_over_all_upstreams_of_a_large_zone(self) -> None:
        node = _Node(60, 100)
        counts = collections.Counter(node.choose() for _ in range(6000))
        self.assertEqual(len(counts), 60)
        self.assertGreater(min(counts.values()), 20)
        self.assertLess(max(counts.values()), 400)

    def test_other_zones_are_used_when_all_upstreams_of_the_own_zone_drain(
        self,
    ) -> None:
        node = _Node(2, 30)
        for number in (0, 1):
            node.add_entry(number, "z0", _model.UpstreamState.DRAINING)
        chosen = {node.choose() for _ in range(500)}
        self.assertEqual(len(chosen), 30)

    def test_ejected_upstream_is_used_when_all_are_ejected(self) -> None:
        node = _Node(1, 1)
        own_zone = node.upstreams._stats_of("u0")
        other_zone = node.upstreams._stats_of("u1")
        own_zone.ejected_until = node.time_s + 1.0
        self.assertEqual(node.choose(), "u1")
        other_zone.ejected_until = node.time_s + 1.0
        self.assertEqual(node.choose(), "u0")

    def test_number_of_compared_upstreams_is_limited(self) -> None:
        """The cost of a choice does not grow with the service."""
        node = _Node(200, 600)
        checked: list[tuple[str, int]] = []

        def is_replaced(address: tuple[str, int], upstream_id: str) -> bool:
            del upstream_id
            checked.append(address)
            return False

        node.upstreams._is_replaced = is_replaced  # type: ignore[method-assign]
        node.choose()
        self.assertLessEqual(len(checked), _upstreams.MAX_CANDIDATES)

    def test_upstreams_without_reports_count_as_full_as_their_zone(
        self,
    ) -> None:
        """Pattern: mean of a zone as the prior of an unknown upstream."""
        node = _Node(60, 60)
        load = _model.LoadReport(10, 10, (0, 0, 0, 0), 0.1, 0.0)
        for number in range(10):
            upstream = node.directory.find(f"u{number}")
            assert upstream is not None
            node.upstreams._record_load(upstream, load, node.time_s)
        own_zone = {f"u{number}" for number in range(60)}
        chosen = {node.choose() for _ in range(200)}
        self.assertFalse(chosen & own_zone)
        # Silence opens the zone again.
        node.time_s += _balance.MAX_REPORT_AGE_S
        chosen = {node.choose() for _ in range(200)}
        self.assertLessEqual(chosen, own_zone)
