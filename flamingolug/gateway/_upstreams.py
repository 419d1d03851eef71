"""Tracks the load of upstreams, chooses among them and sends them calls."""

import math
import random
from collections.abc import Callable
from typing import NamedTuple

from gevent import event

from flamingolug import timing
from flamingolug.gateway import _balance
from flamingolug.gateway import _directory
from flamingolug.gateway import _gate
from flamingolug.gateway import _link
from flamingolug.gateway import _model
from flamingolug.gateway import _pressure

#: Seconds for which an upstream is ejected, which means chosen only if all are,
#: by the reason of a failed call. An upstream that its node no longer reports
#: is ejected as for "leaving".
EJECTION_S = {
    "shed": 0.05,
    "upstream-refused": 0.1,
    "down": 0.5,
    "not-here": 0.5,
    "leaving": 3.0,
    "unreachable": 0.5,
    "link-lost": 1.0,
    "lost": 0.1,
    "hung": 0.1,
    "response-too-large": 0.1,
}
#: Numbers of upstreams that are compared for a call: in the own availability
#: zone and in all zones. Choosing the best of five random upstreams balances
#: load nearly as evenly as choosing the best of all, at a cost that does not
#: grow with the service.
MAX_OWN_ZONE_CANDIDATES = 5
MAX_CANDIDATES = 8
#: Weight of a new sample in the smoothed latency of a route and in the smoothed
#: hold time of a service.
LATENCY_SMOOTHING = 0.05
#: Lowest weight of a report in the mean load of a zone, and the time constant
#: of that mean, seconds, where reports are rare.
ZONE_LOAD_SMOOTHING = 0.05
ZONE_LOAD_TIME_CONSTANT_S = 0.5
#: Latency assumed of a route before its first answer, seconds.
INITIAL_LATENCY_S = 0.2
#: Hold time assumed of a service before its first load report, seconds.
INITIAL_HOLD_S = 0.1


class PendingOffer:
    """A call that was sent to an upstream."""

    def __init__(
        self,
        result: "event.AsyncResult[_model.Outcome]",
        cancel: Callable[[], None],
        finish: Callable[[_model.Outcome | None], None],
    ) -> None:
        """Creates an offer without an outcome.

        Args:
            result: gets the outcome.
            cancel: cancels the call at its upstream.
            finish: called once, with the outcome or with None if the offer was
                abandoned.
        """
        self.result = result
        self._cancel = cancel
        self._finish = finish
        self._finished = False

    def complete(self, outcome: _model.Outcome) -> None:
        """Records the outcome, unless the offer was abandoned."""
        if not self._finished:
            self._finished = True
            self._finish(outcome)

    def abandon(self) -> None:
        """Cancels the call, which may still have run."""
        if self._finished:
            return
        self._finished = True
        self._finish(None)
        self._cancel()
        if not self.result.ready():
            self.result.set(_model.unknown("cancelled"))


class _UpstreamStats:
    """Load and ejection of one upstream, as this node observes them."""

    def __init__(self) -> None:
        """Creates the statistics of an upstream without a load report."""
        self.load: _model.LoadReport | None = None
        #: When `load` was received.
        self.reported_at = 0.0
        #: Calls from this node that have no outcome yet.
        self.outstanding = 0
        #: Calls that this node has sent since `load` was reported.
        self.sent_since_report = 0
        self.ejected_until = 0.0


class _ZoneLoad:
    """Mean load of the upstreams of one service in one availability zone.

    A node of a large fleet has recent reports of few upstreams, but those tell
    how full the others are.
    """

    def __init__(self) -> None:
        """Creates a load of 0 without reports."""
        self._mean = 0.0
        self._reported_at = -math.inf

    def value(self, now: float) -> float:
        """Returns the ratio of running and waiting calls to the limit.

        It falls to 0 while no upstream reports, so that some are tried again.
        """
        age_s = now - self._reported_at
        return self._mean * max(1.0 - age_s / _balance.MAX_REPORT_AGE_S, 0.0)

    def record(self, load: _model.LoadReport, now: float) -> None:
        """Records the report of one upstream."""
        ratio = (load.running + sum(load.waiting)) / max(load.limit, 1)
        weight = 1.0 - math.exp(
            (self._reported_at - now) / ZONE_LOAD_TIME_CONSTANT_S
        )
        self._mean += (ratio - self._mean) * max(weight, ZONE_LOAD_SMOOTHING)
        self._reported_at = now


class Dependencies(NamedTuple):
    """Dependencies of `Upstreams`."""

    cfg: _model.GatewaySettings
    directory: _directory.Directory
    gate: _gate.Gate
    links: _link.Links
    timers: timing.Timers
    rng: random.Random


class Upstreams:
    """Chooses upstreams and sends calls to them."""

    def __init__(self, deps: Dependencies) -> None:
        """Creates an instance without statistics."""
        #: Pressure of each service, from outcomes and status messages.
        self.pressures = _pressure.ServicePressures(deps.timers.now)
        self._deps = deps
        self._now = deps.timers.now
        self._stats: dict[str, _UpstreamStats] = {}
        #: Smoothed latency of calls by route, seconds.
        self._latencies_s: dict[str, float] = {}
        #: Smoothed hold time of the upstreams of each service, from the load
        #: reports in outcomes.
        self._hold_times_s: dict[str, float] = {}
        #: Mean load by service and zone.
        self._zone_loads: dict[tuple[str, str], _ZoneLoad] = {}
        #: Upstream that accepts calls beside the node at an address, as the
        #: node reported last; empty for none.
        self._upstream_ids: dict[tuple[str, int], str] = {}

    def choose(
        self, service: str, route: _model.Route, tried: frozenset[str]
    ) -> _model.Upstream | None:
        """Returns the upstream for the next offer, None without one."""
        now = self._now()
        by_zone = self._deps.directory.entries_by_zone(service)
        own_zone = [
            self._make_candidate(each, True, now)
            for each in self._sample(
                by_zone.own_zone, MAX_OWN_ZONE_CANDIDATES, tried, now
            )
        ]

        def find_in_other_zones() -> list[_balance.Candidate]:
            limit = MAX_CANDIDATES - len(own_zone)
            return [
                self._make_candidate(each, False, now)
                for each in self._sample(by_zone.other_zones, limit, tried, now)
            ]

        return _balance.choose(
            own_zone,
            find_in_other_zones,
            _balance.make_profile(route, self.typical_latency_s(route)),
            self._hold_times_s.get(service, INITIAL_HOLD_S),
            self._deps.rng,
        )

    def _sample(
        self,
        entries: list[_directory.DirectoryEntry],
        limit: int,
        tried: frozenset[str],
        now: float,
    ) -> list[_model.Upstream]:
        """Returns upstreams to compare; ejected ones if there are no others.

        The entries are in random order and the sample begins at a random
        entry, so that all upstreams are equally likely.
        """
        count = len(entries)
        if not count:
            return []
        start = int(self._deps.rng.random() * count)
        available: list[_model.Upstream] = []
        ejected: list[_model.Upstream] = []
        for index in range(start, start + count):
            entry = entries[index % count]
            upstream = entry.upstream
            if upstream.id in tried or not self._accepts_calls(entry):
                continue
            if now < self._stats_of(upstream.id).ejected_until:
                ejected.append(upstream)
                continue
            available.append(upstream)
            if len(available) >= limit:
                return available
        return available or ejected[:limit]

    def _accepts_calls(self, entry: _directory.DirectoryEntry) -> bool:
        upstream = entry.upstream
        if self._is_replaced((upstream.host, upstream.port), upstream.id):
            return False
        return self._deps.directory.is_usable(entry)

    def _make_candidate(
        self, upstream: _model.Upstream, own_zone: bool, now: float
    ) -> _balance.Candidate:
        """Returns an upstream with its current statistics."""
        stats = self._stats_of(upstream.id)
        if (upstream.host, upstream.port) == self._deps.cfg.link:
            stats.load = self._deps.gate.load()
            stats.reported_at = now
            stats.sent_since_report = 0
        return _balance.Candidate(
            upstream,
            own_zone,
            stats.outstanding,
            stats.load,
            now - stats.reported_at,
            stats.sent_since_report,
            self._zone_load_of(upstream).value(now),
            now < stats.ejected_until,
        )

    def typical_latency_s(self, route: _model.Route) -> float:
        """Returns the smoothed latency of calls on a route, seconds."""
        return self._latencies_s.get(route.name, INITIAL_LATENCY_S)

    def send(
        self,
        upstream: _model.Upstream,
        route: _model.Route,
        call: _model.Call,
    ) -> PendingOffer:
        """Sends a call to an upstream.

        Raises:
            PeerUnreachableError: The call was not sent.
        """
        stats = self._stats_of(upstream.id)
        sent_at = self._now()

        def finish(outcome: _model.Outcome | None) -> None:
            stats.outstanding -= 1
            if outcome is not None:
                self._record_outcome(upstream, route, stats, outcome, sent_at)

        cfg = self._deps.cfg
        if (upstream.host, upstream.port) == cfg.link:
            result: event.AsyncResult[_model.Outcome] = event.AsyncResult()
            ticket = self._deps.gate.submit(call, result.set)
            stats.outstanding += 1
            return PendingOffer(
                result, lambda: self._deps.gate.cancel(ticket), finish
            )
        address = (upstream.host, upstream.port)
        try:
            link = self._deps.links.link_to(
                address, max(call.deadline - sent_at, 0.0)
            )
            pending = link.call(call)
        except Exception:
            stats.ejected_until = sent_at + EJECTION_S["unreachable"]
            raise
        stats.outstanding += 1
        stats.sent_since_report += 1
        return PendingOffer(
            pending.result, lambda: link.cancel(pending), finish
        )

    def handle_status(
        self,
        address: tuple[str, int],
        upstream_id: str,
        load: _model.LoadReport,
    ) -> None:
        """Handles the upstream and load that a peer reports.

        Args:
            address: address of the peer for links.
            upstream_id: upstream that accepts calls there, empty for none.
            load: its load.
        """
        previous_id = self._upstream_ids.get(address)
        self._upstream_ids[address] = upstream_id
        now = self._now()
        if previous_id and previous_id != upstream_id:
            self._stats_of(previous_id).ejected_until = (
                now + EJECTION_S["leaving"]
            )
        if upstream_id:
            stats = self._stats_of(upstream_id)
            stats.load = load
            stats.reported_at = now
            stats.sent_since_report = 0
            stats.ejected_until = 0.0
            upstream = self._deps.directory.find(upstream_id)
            if upstream is not None:
                self._record_load(upstream, load, now)

    def is_confirmed(self, upstream: _model.Upstream) -> bool:
        """Returns whether a live link reports an upstream as available."""
        address = (upstream.host, upstream.port)
        if address == self._deps.cfg.link:
            return self._deps.gate.upstream_id == upstream.id
        return self._upstream_ids.get(
            address
        ) == upstream.id and self._deps.links.is_live(address)

    def _is_replaced(self, address: tuple[str, int], upstream_id: str) -> bool:
        """Returns whether another upstream is at an address.

        At the address of a peer, that is what the peer reports over a live
        link. At the own address, the result is also True if no upstream accepts
        calls.
        """
        if address == self._deps.cfg.link:
            return self._deps.gate.upstream_id != upstream_id
        reported_id = self._upstream_ids.get(address)
        if not reported_id or reported_id == upstream_id:
            return False
        return self._deps.links.is_live(address)

    def _record_outcome(
        self,
        upstream: _model.Upstream,
        route: _model.Route,
        stats: _UpstreamStats,
        outcome: _model.Outcome,
        sent_at: float,
    ) -> None:
        now = self._now()
        if outcome.load is not None:
            stats.load = outcome.load
            stats.reported_at = now
            stats.sent_since_report = 0
            self._record_load(upstream, outcome.load, now)
            service = upstream.service
            hold_s = self._hold_times_s.get(service, outcome.load.hold_s)
            self._hold_times_s[service] = (
                hold_s + (outcome.load.hold_s - hold_s) * LATENCY_SMOOTHING
            )
        ejection_s = EJECTION_S.get(outcome.reason)
        if ejection_s is not None:
            stats.ejected_until = now + ejection_s
        if outcome.verdict is _model.Verdict.ANSWERED:
            typical_latency_s = self.typical_latency_s(route)
            self._latencies_s[route.name] = (
                typical_latency_s
                + (now - sent_at - typical_latency_s) * LATENCY_SMOOTHING
            )

    def _record_load(
        self, upstream: _model.Upstream, load: _model.LoadReport, now: float
    ) -> None:
        """Records what a report tells of other upstreams too."""
        self._zone_load_of(upstream).record(load, now)
        self.pressures.of(upstream.service).record(
            _pressure.Pressure(
                load.pressure, load.bottleneck, load.expired_ratio
            )
        )

    def _zone_load_of(self, upstream: _model.Upstream) -> _ZoneLoad:
        key = (upstream.service, upstream.zone)
        zone_load = self._zone_loads.get(key)
        if zone_load is None:
            zone_load = _ZoneLoad()
            self._zone_loads[key] = zone_load
        return zone_load

    def _stats_of(self, upstream_id: str) -> _UpstreamStats:
        stats = self._stats.get(upstream_id)
        if stats is None:
            stats = _UpstreamStats()
            self._stats[upstream_id] = stats
        return stats
