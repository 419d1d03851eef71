"""Clients that move from one availability zone to another.

Pattern: locality-aware load balancing with spillover. The nodes of a zone
receive twice their load while those of another zone receive none. Their own
upstreams do not suffice, those of the other zones have free slots. Each node
knows only what outcomes have reported to it, at any size of the fleet.
"""

import collections
import heapq
import itertools
import random
import types
import unittest
from typing import Any
from typing import cast
from typing import NamedTuple

from flamingolug import store
from flamingolug.gateway import _directory
from flamingolug.gateway import _model
from flamingolug.gateway import _request
from flamingolug.gateway import _upstreams

_ZONES = ("z0", "z1", "z2", "z3")
#: Nodes of the fleets, each with one upstream, and the slots of all upstreams
#: together, which do not grow with the fleet.
_NODES = (16, 72, 192, 300, 728)
_TOTAL_SLOTS = 2912
_HOLD_S = 0.2
#: Ratio of the load to the capacity, of all zones together.
_LOAD = 0.6
#: When the clients of the first zone move to the second, and when back.
_SHIFT_AT_S, _RETURN_AT_S, _END_S = 1.0, 2.5, 3.5
#: Seconds after a move that are not evaluated.
_SETTLING_S = 0.5
#: Lowest fraction of the calls that must be served, and highest fraction that
#: may cross zones while every zone has enough slots. All could be served, and
#: none would have to cross.
_MIN_SERVED = 0.95
_MAX_CROSSING = 0.05
_ROUTE = _model.Route("r", "h", "/", (("s", 1.0),), True, 5.0, 1.2, 2, 1)


class _Pending(NamedTuple):
    """Offer of a call at an upstream; replaces the link."""

    result: None = None


class Result(NamedTuple):
    """Fractions of the calls of one period."""

    served: float
    #: Served in another zone than that of the node.
    crossing: float


class _Fleet:
    """Nodes that send calls, and upstreams with slots but without a queue."""

    def __init__(self, nodes: int) -> None:
        self.now = 0.0
        self._rng = random.Random(7)
        self._timers: Any = types.SimpleNamespace(now=lambda: self.now)
        self._limit = max(_TOTAL_SLOTS // nodes, 1)
        self._running: collections.Counter[str] = collections.Counter()
        upstreams = [
            _model.Upstream(
                f"u{number}",
                "s",
                _ZONES[number % len(_ZONES)],
                f"10.0.{number // 256}.{number % 256}",
                1,
                self._limit,
                _model.UpstreamState.READY,
                1,
                1,
            )
            for number in range(nodes)
        ]
        self._nodes_by_zone = {
            zone: [
                self._make_node(directory) for _ in range(nodes // len(_ZONES))
            ]
            for zone in _ZONES
            for directory in [self._make_directory(zone, upstreams)]
        }
        self._calls_per_s = _LOAD * self._limit * nodes / _HOLD_S
        self._ends: list[tuple[float, int, Any]] = []
        self._numbers = itertools.count()

    def _make_directory(
        self, zone: str, upstreams: list[_model.Upstream]
    ) -> _directory.Directory:
        directory = _directory.Directory(
            _directory.Dependencies(
                zone,
                self._rng,
                cast(store.LeasedStore, None),
                self._timers,
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
        for revision, upstream in enumerate(upstreams, 1):
            key = _directory.PREFIX + upstream.id
            value = _directory.encode_entry(upstream)
            directory.apply(store.Item(key, value, store.Position(1, revision)))
        return directory

    def _make_node(
        self, directory: _directory.Directory
    ) -> _upstreams.Upstreams:
        cfg: Any = types.SimpleNamespace(link=("own", 1))
        link = types.SimpleNamespace(
            call=lambda call: _Pending(), cancel=lambda pending: None
        )
        links: Any = types.SimpleNamespace(
            is_live=lambda address: True,
            link_to=lambda address, wait_s: link,
        )
        return _upstreams.Upstreams(
            _upstreams.Dependencies(
                cfg, directory, cast(Any, None), links, self._timers, self._rng
            )
        )

    def run(self, zones: dict[str, float], until_s: float) -> Result:
        """Sends calls until a time.

        Args:
            zones: part of the calls that arrives in each zone.
            until_s: the time.

        Returns:
            The fractions, without the first `_SETTLING_S`.
        """
        counted_from = self.now + _SETTLING_S
        counts: collections.Counter[str] = collections.Counter()
        names, weights = list(zones), list(zones.values())
        while self.now < until_s:
            self.now += self._rng.expovariate(self._calls_per_s)
            self._end_calls()
            zone = self._rng.choices(names, weights)[0]
            node = self._rng.choice(self._nodes_by_zone[zone])
            served_in = self._send(node)
            if self.now < counted_from:
                continue
            counts["all"] += 1
            counts["served"] += bool(served_in)
            counts["crossing"] += served_in not in ("", zone)
        return Result(
            counts["served"] / counts["all"], counts["crossing"] / counts["all"]
        )

    def _send(self, node: _upstreams.Upstreams) -> str:
        """Offers a call; returns the zone where it runs, empty for none."""
        tried: set[str] = set()
        call: Any = types.SimpleNamespace(deadline=self.now + 2.0)
        for _ in range(_request.MAX_OFFERS):
            upstream = node.choose("s", _ROUTE, frozenset(tried))
            if upstream is None:
                return ""
            tried.add(upstream.id)
            offer = node.send(upstream, _ROUTE, call)
            if self._running[upstream.id] >= self._limit:
                offer.complete(_model.not_run("shed", self._load(upstream.id)))
                continue
            self._running[upstream.id] += 1
            ends_at = self.now + self._rng.gammavariate(4, _HOLD_S / 4)
            heapq.heappush(
                self._ends,
                (ends_at, next(self._numbers), (offer, upstream.id)),
            )
            return upstream.zone
        return ""

    def _end_calls(self) -> None:
        while self._ends and self._ends[0][0] <= self.now:
            offer, upstream_id = heapq.heappop(self._ends)[2]
            self._running[upstream_id] -= 1
            load = self._load(upstream_id)
            outcome = _model.Outcome(
                _model.Verdict.ANSWERED, "", None, load, True
            )
            offer.complete(outcome)

    def _load(self, upstream_id: str) -> _model.LoadReport:
        running = self._running[upstream_id]
        return _model.LoadReport(
            running,
            self._limit,
            (0, 0, 0, 0),
            _HOLD_S,
            0.0,
            running / self._limit,
        )


class ShiftTest(unittest.TestCase):
    def test_moved_clients_are_served_at_any_size_of_the_fleet(self) -> None:
        even = dict.fromkeys(_ZONES, 1.0)
        moved = {"z0": 0.0, "z1": 2.0, "z2": 1.0, "z3": 1.0}
        for nodes in _NODES:
            with self.subTest(nodes=nodes):
                fleet = _Fleet(nodes)
                before = fleet.run(even, _SHIFT_AT_S)
                during = fleet.run(moved, _RETURN_AT_S)
                after = fleet.run(even, _END_S)
                for result in (before, during, after):
                    self.assertGreater(result.served, _MIN_SERVED)
                for result in (before, after):
                    self.assertLess(result.crossing, _MAX_CROSSING)
