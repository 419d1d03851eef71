"""Choice among the many upstreams of a large service.

Pattern: best of a few random choices, own availability zone first. The cost of
a choice must not grow with the service, and no upstream may be left out.
"""

import collections
import random
import types
import unittest
from typing import Any
from typing import cast

from flamingolug import store
from flamingolug.gateway import _directory
from flamingolug.gateway import _model
from flamingolug.gateway import _upstreams

_ROUTE = _model.Route("r", "h", "/", (("s", 1.0),), True, 2.0, 1.0, 2, 1)


class _Fleet:
    """A node that knows `near` upstreams of its zone and `far` others."""

    def __init__(self, near: int, far: int) -> None:
        self.at = 100.0
        timers: Any = types.SimpleNamespace(now=lambda: self.at)
        rng = random.Random(4)
        self.directory = _directory.Directory(
            _directory.Dependencies(
                "z0",
                rng,
                cast(store.LeasedStore, None),
                timers,
                lambda upstream: False,
                lambda key: None,
                lambda: None,
            )
        )
        for number in range(near + far):
            self.enter(number, "z0" if number < near else "z1")
        cfg: Any = types.SimpleNamespace(
            identity=types.SimpleNamespace(zone="z0"), link=("own", 1)
        )
        links: Any = types.SimpleNamespace(is_live=lambda address: False)
        self.upstreams = _upstreams.Upstreams(
            _upstreams.Dependencies(
                cfg, self.directory, cast(Any, None), links, timers, rng
            )
        )

    def enter(
        self,
        number: int,
        zone: str,
        state: _model.UpstreamState = _model.UpstreamState.READY,
    ) -> None:
        """Stores an entry."""
        upstream = _model.Upstream(
            f"u{number}", "s", zone, f"h{number}", 1, 10, state, 1, 1
        )
        self.directory.apply(
            store.Item(
                _directory.PREFIX + upstream.id,
                _directory.encode_entry(upstream),
                number + 1,
            )
        )

    def choose(self, tried: frozenset[str] = frozenset()) -> str:
        """Returns the chosen upstream's identity, empty for none."""
        chosen = self.upstreams.choose("s", _ROUTE, tried)
        return chosen.id if chosen else ""


class SampleTest(unittest.TestCase):
    def test_each_upstream_is_offered_a_request_once(self) -> None:
        fleet = _Fleet(2, 2)
        tried: set[str] = set()
        for _ in range(4):
            chosen = fleet.choose(frozenset(tried))
            self.assertNotIn(chosen, tried)
            self.assertTrue(chosen)
            tried.add(chosen)
        self.assertEqual(fleet.choose(frozenset(tried)), "")

    def test_the_own_zone_comes_first(self) -> None:
        fleet = _Fleet(3, 40)
        chosen = {fleet.choose() for _ in range(200)}
        self.assertLessEqual(chosen, {"u0", "u1", "u2"})

    def test_every_upstream_of_a_large_zone_gets_its_part(self) -> None:
        fleet = _Fleet(60, 100)
        counts = collections.Counter(fleet.choose() for _ in range(6000))
        self.assertEqual(len(counts), 60)
        self.assertGreater(min(counts.values()), 20)
        self.assertLess(max(counts.values()), 400)

    def test_other_zones_serve_when_the_own_has_nobody_left(self) -> None:
        fleet = _Fleet(2, 30)
        for number in (0, 1):
            fleet.enter(number, "z0", _model.UpstreamState.DRAINING)
        chosen = {fleet.choose() for _ in range(500)}
        self.assertEqual(len(chosen), 30)

    def test_ejected_ones_are_used_when_nobody_else_is_left(self) -> None:
        fleet = _Fleet(1, 1)
        near = fleet.upstreams._view("u0")
        far = fleet.upstreams._view("u1")
        near.ejected_until = fleet.at + 1.0
        self.assertEqual(fleet.choose(), "u1")
        far.ejected_until = fleet.at + 1.0
        self.assertEqual(fleet.choose(), "u0")

    def test_only_a_few_are_looked_at(self) -> None:
        """The cost of a choice does not grow with the service."""
        fleet = _Fleet(200, 600)
        asked: list[tuple[str, int]] = []

        def is_elsewhere(address: tuple[str, int], upstream_id: str) -> bool:
            del upstream_id
            asked.append(address)
            return False

        fleet.upstreams._is_elsewhere = is_elsewhere  # type: ignore[method-assign]
        fleet.choose()
        self.assertLessEqual(len(asked), _upstreams.MAX_CANDIDATES)
