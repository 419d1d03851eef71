"""What this node knows of each upstream's load, and how to reach it."""

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

#: Seconds for which an upstream is passed over, by what it last refused with.
EJECTION_S = {
    "shed": 0.05,
    "upstream-refused": 0.1,
    "down": 0.5,
    "not-here": 0.5,
    "leaving": 3.0,
    "unreachable": 0.5,
    "link-lost": 1.0,
    "lost": 0.1,
}
#: Upstreams of the own availability zone that are compared for a call, and of
#: all zones. The best of five random ones is loaded nearly as evenly as the
#: best of all, at a cost that does not grow with the service.
MAX_NEAR = 5
MAX_CANDIDATES = 8
#: Weight of a new sample in the typical time of a route.
TYPICAL_SMOOTHING = 0.05
FIRST_TYPICAL_S = 0.2
#: Hold time assumed of a service before the first result, seconds.
FIRST_HOLD_S = 0.1


class PendingAttempt:
    """A call on its way."""

    def __init__(
        self,
        result: "event.AsyncResult[_model.Outcome]",
        stop: Callable[[], None],
        finish: Callable[[_model.Outcome | None], None],
    ) -> None:
        """Creates a call without an outcome."""
        self.result = result
        self._stop = stop
        self._finish = finish
        self._finished = False

    def complete(self, outcome: _model.Outcome) -> None:
        """Notes the outcome."""
        if not self._finished:
            self._finished = True
            self._finish(outcome)

    def abandon(self) -> None:
        """Gives the call up; it may still have run."""
        if self._finished:
            return
        self._finished = True
        self._finish(None)
        self._stop()
        if not self.result.ready():
            self.result.set(_model.unknown("cancelled"))


class _View:
    """One upstream as this node sees it."""

    def __init__(self) -> None:
        """Creates a view without knowledge."""
        self.load: _model.LoadReport | None = None
        self.load_at = 0.0
        self.outstanding = 0
        self.sent_since = 0
        self.ejected_until = 0.0


class Dependencies(NamedTuple):
    """What the choice of upstreams works with."""

    cfg: _model.GatewaySettings
    directory: _directory.Directory
    gate: _gate.Gate
    links: _link.Links
    timers: timing.Timers
    rng: random.Random


class Upstreams:
    """Chooses upstreams and sends calls to them."""

    def __init__(self, deps: Dependencies) -> None:
        """Starts without knowledge."""
        self._deps = deps
        self._now = deps.timers.now
        self._views: dict[str, _View] = {}
        self._typical: dict[str, float] = {}
        #: Mean hold time of each service's upstreams as results tell it.
        self._holds: dict[str, float] = {}
        #: Upstream that takes work beside the node at an address.
        self._at_address: dict[tuple[str, int], str] = {}

    def choose(
        self, service: str, route: _model.Route, tried: frozenset[str]
    ) -> _model.Upstream | None:
        """Returns the upstream for the next attempt, None without one."""
        now = self._now()
        placement = self._deps.directory.placement_of(service)
        near = [
            self._describe(each, True, now)
            for each in self._sample(placement.near, MAX_NEAR, tried, now)
        ]

        def find_far() -> list[_balance.Candidate]:
            most = MAX_CANDIDATES - len(near)
            return [
                self._describe(each, False, now)
                for each in self._sample(placement.far, most, tried, now)
            ]

        return _balance.choose(
            near,
            find_far,
            _balance.describe_work(route, self.typical_latency_s(route)),
            self._holds.get(service, FIRST_HOLD_S),
            self._deps.rng,
        )

    def _sample(
        self,
        entries: list[_directory.DirectoryEntry],
        most: int,
        tried: frozenset[str],
        now: float,
    ) -> list[_model.Upstream]:
        """Returns upstreams to compare, those that are not ejected first.

        The entries are in random order and the sample begins anywhere, so
        that each upstream is as likely as any other.
        """
        count = len(entries)
        if not count:
            return []
        start = int(self._deps.rng.random() * count)
        found: list[_model.Upstream] = []
        spare: list[_model.Upstream] = []
        for index in range(start, start + count):
            known = entries[index % count]
            upstream = known.upstream
            if upstream.id in tried or not self._takes_work(known):
                continue
            if now < self._view(upstream.id).ejected_until:
                spare.append(upstream)
                continue
            found.append(upstream)
            if len(found) >= most:
                return found
        return found or spare[:most]

    def _takes_work(self, known: _directory.DirectoryEntry) -> bool:
        upstream = known.upstream
        if self._is_elsewhere((upstream.host, upstream.port), upstream.id):
            return False
        return self._deps.directory.is_usable(known)

    def _describe(
        self, upstream: _model.Upstream, near: bool, now: float
    ) -> _balance.Candidate:
        """Returns an upstream as the choice sees it."""
        view = self._view(upstream.id)
        if (upstream.host, upstream.port) == self._deps.cfg.link:
            view.load = self._deps.gate.load()
            view.load_at = now
            view.sent_since = 0
        return _balance.Candidate(
            upstream,
            near,
            view.outstanding,
            view.load,
            now - view.load_at,
            view.sent_since,
            now < view.ejected_until,
        )

    def typical_latency_s(self, route: _model.Route) -> float:
        """Returns how long a call of a route takes."""
        return self._typical.get(route.name, FIRST_TYPICAL_S)

    def send(
        self,
        upstream: _model.Upstream,
        route: _model.Route,
        call: _model.Call,
    ) -> PendingAttempt:
        """Sends a call to an upstream.

        Raises:
            PeerUnreachableError: the call was never handed over.
        """
        view = self._view(upstream.id)
        began = self._now()

        def finish(outcome: _model.Outcome | None) -> None:
            view.outstanding -= 1
            if outcome is not None:
                self._learn(upstream.service, route, view, outcome, began)

        cfg = self._deps.cfg
        if (upstream.host, upstream.port) == cfg.link:
            result: event.AsyncResult[_model.Outcome] = event.AsyncResult()
            ticket = self._deps.gate.submit(call, result.set)
            view.outstanding += 1
            return PendingAttempt(
                result, lambda: self._deps.gate.cancel(ticket), finish
            )
        address = (upstream.host, upstream.port)
        try:
            link = self._deps.links.link_to(
                address, max(call.deadline - began, 0.0)
            )
            pending = link.call(call)
        except Exception:
            view.ejected_until = began + EJECTION_S["unreachable"]
            raise
        view.outstanding += 1
        view.sent_since += 1
        return PendingAttempt(
            pending.result, lambda: link.cancel(pending), finish
        )

    def handle_status(
        self,
        address: tuple[str, int],
        upstream_id: str,
        load: _model.LoadReport,
    ) -> None:
        """Takes in what a peer says of its upstream."""
        before = self._at_address.get(address)
        self._at_address[address] = upstream_id
        now = self._now()
        if before and before != upstream_id:
            self._view(before).ejected_until = now + EJECTION_S["leaving"]
        if upstream_id:
            view = self._view(upstream_id)
            view.load = load
            view.load_at = now
            view.sent_since = 0
            view.ejected_until = 0.0

    def is_confirmed(self, upstream: _model.Upstream) -> bool:
        """Returns whether an open link says that an upstream takes work."""
        address = (upstream.host, upstream.port)
        if address == self._deps.cfg.link:
            return self._deps.gate.upstream_id == upstream.id
        return self._at_address.get(
            address
        ) == upstream.id and self._deps.links.is_live(address)

    def _is_elsewhere(self, address: tuple[str, int], upstream_id: str) -> bool:
        """Returns whether the node at an address says that it has another."""
        if address == self._deps.cfg.link:
            return self._deps.gate.upstream_id != upstream_id
        told = self._at_address.get(address)
        if not told or told == upstream_id:
            return False
        return self._deps.links.is_live(address)

    def _learn(
        self,
        service: str,
        route: _model.Route,
        view: _View,
        outcome: _model.Outcome,
        began: float,
    ) -> None:
        now = self._now()
        if outcome.load is not None:
            view.load = outcome.load
            view.load_at = now
            view.sent_since = 0
            hold_s = self._holds.get(service, outcome.load.hold_s)
            self._holds[service] = (
                hold_s + (outcome.load.hold_s - hold_s) * TYPICAL_SMOOTHING
            )
        ejection_s = EJECTION_S.get(outcome.reason)
        if ejection_s is not None:
            view.ejected_until = now + ejection_s
        if outcome.verdict is _model.Verdict.ANSWERED:
            typical_latency_s = self.typical_latency_s(route)
            self._typical[route.name] = (
                typical_latency_s
                + (now - began - typical_latency_s) * TYPICAL_SMOOTHING
            )

    def _view(self, upstream_id: str) -> _View:
        view = self._views.get(upstream_id)
        if view is None:
            view = _View()
            self._views[upstream_id] = view
        return view
