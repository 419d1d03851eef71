"""The backend server beside this node: announcement, admission, exchange."""

import collections
import logging
from typing import NamedTuple

import gevent

from flamingolug import calls
from flamingolug import configuration
from flamingolug import errors
from flamingolug import manifest
from flamingolug import membership
from flamingolug import ownership
from flamingolug import peers
from flamingolug import policy
from flamingolug import settings
from flamingolug import telemetry
from flamingolug import timing
from flamingolug import web
from flamingolug.node import _admission
from flamingolug.node import _callee_check
from flamingolug.node import _inflight
from flamingolug.node import _outcomes
from flamingolug.node import _owners

_LOGGER = logging.getLogger(__name__)
REFUSALS = "flamingolug.refusals"
INVERSIONS = "flamingolug.admission.inversions"
SERVED = "flamingolug.upstream.calls"
CUTOFF_INTERVAL_S = policy.CUTOFF_WINDOW_S
LIMIT_INTERVAL_S = 0.2
FORGET_INTERVAL_S = 10.0
#: Seconds an announcement holds when it names no other time.
ANNOUNCEMENT_S = 10.0
#: Seconds that others may take to own the keys of a node that leaves.
OWNERS_LEAVE_S = 8.0
#: Reason of an outcome that nothing is known of.
NO_RECORD = "no-record"
_POLL_S = 0.02


class Announcement(NamedTuple):
    """What a backend server says of itself."""

    service: str
    address: settings.Address
    slots: int
    connections: int


class Dependencies(NamedTuple):
    """What the upstream works with."""

    cfg: settings.Settings
    config: configuration.ManifestWatcher
    members: membership.Membership
    loads: membership.PeerLoads
    timers: timing.Timers
    counters: telemetry.Counters
    incarnation: int
    outcomes: _outcomes.Outcomes
    owners: _owners.Owners


class Upstream:
    """Runs calls on the backend server beside this node."""

    def __init__(self, deps: Dependencies) -> None:
        """Starts without a backend server."""
        deps.counters.declare(
            REFUSALS, "Calls refused before they ran", "reason", "step"
        )
        deps.counters.declare(
            SERVED, "Calls given to the backend server", "verdict"
        )
        deps.counters.declare(
            INVERSIONS, "Calls shed while less urgent work was started"
        )
        self.announced: Announcement | None = None
        self.leaving = False
        self.in_flight = _inflight.InFlight(deps.incarnation, deps.timers.now)
        self.outcomes = deps.outcomes
        self.owners = deps.owners
        self.members = deps.members
        self.admission = _admission.Admission(
            policy.initial_limit(1, 1), 1, deps.timers.now
        )
        self._deps = deps
        self._pool: web.Pool | None = None
        #: Tries of keys without a record that wait for the right, by key.
        self._checking: collections.Counter[str] = collections.Counter()
        self._expires_at = 0.0
        deps.loads.set_source(self.report)
        deps.config.subscribe(self._new_manifest)

    def start(self) -> None:
        """Begins the periodic updates."""
        timers = self._deps.timers
        timers.every(CUTOFF_INTERVAL_S, self._update_cutoff)
        timers.every(LIMIT_INTERVAL_S, self._update_limit)
        timers.every(FORGET_INTERVAL_S, self.outcomes.forget_old)

    def announce(self, announced: Announcement, hold_s: float) -> None:
        """Takes in an announcement, first or repeated."""
        now = self._deps.timers.now()
        self._expires_at = now + hold_s
        if announced == self.announced:
            return
        self.announced = announced
        self.leaving = False
        self._pool = web.Pool(
            announced.address.host,
            announced.address.port,
            announced.connections,
        )
        self.admission = _admission.Admission(
            policy.initial_limit(announced.slots, announced.connections),
            self._top(),
            self._deps.timers.now,
            self._rank_of,
        )
        telemetry.event(
            _LOGGER,
            "upstream.announced",
            service=announced.service,
            peer=announced.address,
            slots=announced.slots,
        )
        self.owners.serve(announced.service)
        self._deps.members.update_own(service=announced.service)

    def withdraw(self) -> None:
        """Takes no new work from now on; calls that wait still run.

        Keyed calls come until another node owns their keys.
        """
        if self.leaving or self.announced is None:
            return
        self.leaving = True
        telemetry.event(
            _LOGGER, "upstream.leaving", service=self.announced.service
        )
        self.owners.leaving = True
        self._deps.members.update_own(service="")

    def drain(self, timeout_s: float) -> int:
        """Waits until others own its keys and nothing runs or waits.

        Returns:
            The number of calls that still run at the timeout.
        """
        deadline = self._deps.timers.now() + timeout_s
        self.owners.leave(min(timeout_s, OWNERS_LEAVE_S))
        while self.is_busy() and self._deps.timers.now() < deadline:
            gevent.sleep(_POLL_S)
        return self.admission.running

    def ask_outcome(self, key: str) -> calls.Outcome:
        """Returns what this node knows of a key, and else who owns it."""
        found = self.outcomes.ask(key)
        if found is not None:
            return found
        owner = ownership.owner_in(self.owners.voter.view, key) or ""
        return calls.unknown(NO_RECORD, "ask", owner, 0)

    def is_busy(self) -> bool:
        """Returns whether calls run or wait."""
        return bool(self.admission.running or self.admission.waiting)

    def report(self) -> peers.LoadReport:
        """Returns the load report of this node."""
        own = self._deps.members.table.own
        found = self._deps.config.active
        revision = found.revision if found else 0
        report = membership.new_report(
            own.name,
            own.incarnation,
            limit=int(self.admission.limit.limit),
            running=self.admission.running,
            waiting=self.admission.waiting,
            cutoff=self.admission.cutoff,
            revision=revision,
            leaving=self.leaving or self.announced is None,
        )
        report["deep"] = self._deps.loads.callee_levels(revision)
        return report

    def serve(self, call: calls.Call) -> calls.Outcome:
        """Runs a call, at most once for a keyed non-idempotent one."""
        if self._deps.cfg.control == "none":
            return self._run(call)
        if not call.needs_owner():
            return self._serve_counted(call)
        if not self.outcomes.knows(call.key):
            self._checking[call.key] += 1
            try:
                refused = self._refuse_first(call)
            finally:
                self._checking[call.key] -= 1
                if not self._checking[call.key]:
                    del self._checking[call.key]
            if refused is not None:
                return refused
        return self.outcomes.run(call, self._serve_counted)

    def _refuse_first(self, call: calls.Call) -> calls.Outcome | None:
        """Returns why a key without a record is not begun, None if it is."""
        own = self._deps.cfg.name
        refused = self.owners.check(call)
        if refused is not None:
            return self._counted(refused)
        if self.owners.is_doubtful(call):
            return calls.unknown("earlier-owner-gone", "ownership", own, 0)
        if not self.admission.refuse_if_full(call.level):
            return None
        if self._checking[call.key] > 1:
            # Another try of the key waits for the right and may still run.
            return calls.unknown("another-try", "admission", own, 0)
        return self._counted(
            calls.not_run(telemetry.Refusal.SHED, "admission", own)
        )

    def _serve_counted(self, call: calls.Call) -> calls.Outcome:
        return self._counted(self._serve(call))

    def _counted(self, outcome: calls.Outcome) -> calls.Outcome:
        if outcome.verdict is calls.Verdict.NOT_RUN:
            self._deps.counters.add(REFUSALS, outcome.reason, outcome.step)
        return outcome

    def _serve(self, call: calls.Call) -> calls.Outcome:
        """Waits for a slot and runs the call."""
        own = self._deps.cfg.name
        announced = self.announced
        if announced is None or announced.service != call.service:
            return calls.not_run(telemetry.Refusal.NO_UPSTREAM, "upstream", own)
        if self.leaving and not call.needs_owner():
            # Keyed calls come until another node owns their keys.
            return calls.not_run(telemetry.Refusal.LEAVING, "upstream", own)
        if call.needs_owner() and call.depth == 0:
            # Nothing was refused on the way to the owner of the key.
            refused = self._refuse_below(call)
            if refused is not None:
                return refused
        admission = self.admission
        expected_s = self._expected_s(call)
        try:
            admission.enter(call.kind, call.level, call.deadline, expected_s)
        except errors.RefusedError as exc:
            return calls.not_run(telemetry.Refusal(exc.reason), exc.step, own)
        began = self._deps.timers.now()
        own_s: float | None = None
        try:
            outcome, own_s = self._run_timed(call)
        finally:
            admission.leave(call.kind, self._deps.timers.now() - began, own_s)
        return outcome

    def _refuse_below(self, call: calls.Call) -> calls.Outcome | None:
        found = self._deps.config.active
        if found is None:
            return None
        refused = _callee_check.refuse_by_callee_level(
            call, found, self._deps.loads
        )
        return refused and refused._replace(step="upstream")

    def _run(self, call: calls.Call) -> calls.Outcome:
        return self._run_timed(call)[0]

    def _run_timed(
        self, call: calls.Call
    ) -> tuple[calls.Outcome, float | None]:
        """Runs the call; returns its own time too, None when it failed."""
        began = self._deps.timers.now()
        if self._has_lost_right(call):
            return calls.not_run(
                telemetry.Refusal.NO_RIGHT, "upstream", self._deps.cfg.name
            ), None
        if call.needs_owner():
            self.outcomes.record_dispatched(call.key)
        parent = self.in_flight.open(call)
        own_s: float | None = None
        try:
            outcome = self._exchange(call, parent)
            if outcome.verdict is calls.Verdict.ANSWERED:
                took_s = self._deps.timers.now() - began
                own_s = max(took_s - parent.busy_s(), 0.0)
        finally:
            self.in_flight.close(parent)
        self._deps.counters.add(SERVED, str(outcome.verdict))
        return outcome, own_s

    def _has_lost_right(self, call: calls.Call) -> bool:
        """Returns whether a keyed call must not run any more.

        This is looked at last, after every wait: the node may have been
        paused, and another one may own the key by now.
        """
        if not call.needs_owner():
            return False
        if self._deps.cfg.control == "none":
            return False
        return not self.owners.may_run(call.key)

    def _exchange(
        self, call: calls.Call, parent: _inflight.Parent
    ) -> calls.Outcome:
        """Gives the call to the backend server and reads its answer."""
        assert self._pool is not None
        left_s = call.deadline - self._deps.timers.now()
        headers = [
            *call.headers,
            (calls.HEADER_CONTEXT, parent.token),
            (calls.HEADER_REQUEST, call.root_id),
            (calls.HEADER_KIND, call.kind),
            (calls.HEADER_DEADLINE, str(max(int(left_s * 1000.0), 1))),
        ]
        try:
            reply = web.exchange(
                self._pool,
                call.method,
                call.target,
                headers,
                call.body,
                timeout_s=max(left_s, 0.001),
                max_body_bytes=self._deps.cfg.max_response_body_bytes,
            )
        except errors.BackendError as exc:
            return self._failed(exc, parent)
        except errors.BodyTooLargeError as exc:
            return calls.unknown(
                "response-too-large",
                exc.step,
                exc.peer,
                parent.attempts_used(),
            )
        used = parent.attempts_used()
        if reply.header(calls.HEADER_OUTCOME) == str(calls.Verdict.NOT_RUN):
            return calls.not_run(
                telemetry.Refusal.BACKEND_SHED, "backend", self._pool.peer, used
            )
        return calls.answered(
            reply.status,
            calls.forwardable(reply.headers),
            reply.body,
            used,
        )

    def _failed(
        self, exc: errors.BackendError, parent: _inflight.Parent
    ) -> calls.Outcome:
        """Returns the outcome of an exchange without a whole answer."""
        used = parent.attempts_used()
        if not exc.sent:
            return calls.not_run(
                telemetry.Refusal.UNREACHABLE, exc.step, exc.peer, used
            )
        return calls.unknown(exc.message, exc.step, exc.peer, used)

    def _count_inversions(self) -> None:
        new = self.admission.inversions
        if new:
            self._deps.counters.add(INVERSIONS, count=new)
            self.admission.inversions = 0

    def _expected_s(self, call: calls.Call) -> float:
        found = self._deps.config.active
        if found is None or call.kind not in found.manifest.kinds:
            return manifest.DEFAULT_SERVICE_TIME_MS / 1000.0
        return found.manifest.chain_time_ms(call.kind) / 1000.0

    def _update_cutoff(self) -> None:
        self.admission.update_cutoff()
        self._count_inversions()
        if self.announced is None or self.leaving:
            return
        if self._deps.timers.now() > self._expires_at:
            telemetry.event(
                _LOGGER, "upstream.expired", service=self.announced.service
            )
            self.withdraw()
            self.announced = None

    def _update_limit(self) -> None:
        self.admission.update_limit()

    def _rank_of(self, level: int) -> int:
        found = self._deps.config.active
        return found.shedding_order.rank_index(level) if found else 0

    def _top(self) -> int:
        found = self._deps.config.active
        return found.shedding_order.top if found else 1

    def _new_manifest(self, found: configuration.ActiveManifest) -> None:
        self.admission.set_top(found.shedding_order.top)
