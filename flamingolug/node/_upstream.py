"""Serves calls on the local backend server, which runs beside this node."""

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
#: Seconds between two updates of the cutoff, the cutoff window.
CUTOFF_INTERVAL_S = policy.CUTOFF_WINDOW_S
#: Seconds between two updates of the concurrency limit, the limit window.
LIMIT_INTERVAL_S = 0.2
#: Seconds between two removals of expired outcome records.
OUTCOME_PURGE_INTERVAL_S = 10.0
#: Default number of seconds after which an announcement expires.
DEFAULT_ANNOUNCEMENT_LEASE_S = 10.0
#: Maximum number of seconds that a leaving node waits until other nodes own
#: its keys.
OWNERSHIP_TRANSFER_S = 8.0
#: Reason of an unknown outcome of a key without a record.
NO_RECORD = "no-record"
_POLL_S = 0.02


class Announcement(NamedTuple):
    """Service, address and capacity announced by a backend server."""

    service: str
    address: settings.Address
    slots: int
    connections: int


class Dependencies(NamedTuple):
    """Dependencies of `LocalUpstream`."""

    cfg: settings.Settings
    manifest_watcher: configuration.ManifestWatcher
    members: membership.Membership
    loads: membership.PeerLoads
    timers: timing.Timers
    counters: telemetry.Counters
    incarnation: int
    outcomes: _outcomes.Outcomes
    owners: _owners.OwnershipManager


class LocalUpstream:
    """Runs calls on the local backend server."""

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
        self.in_flight = _inflight.InFlightRequests(
            deps.incarnation, deps.timers.now
        )
        self.outcomes = deps.outcomes
        self.owners = deps.owners
        self.members = deps.members
        self.admission = _admission.Admission(
            policy.initial_limit(1, 1), 1, deps.timers.now
        )
        self._deps = deps
        self._pool: web.Pool | None = None
        #: Number of attempts in `_check_new_key`, by key. They may wait for the
        #: ownership of the key or for pending handovers.
        self._attempts_in_check: collections.Counter[str] = (
            collections.Counter()
        )
        self._expires_at = 0.0
        deps.loads.set_own_report(self.report)
        deps.manifest_watcher.subscribe(self._on_new_manifest)

    def start(self) -> None:
        """Starts the periodic updates."""
        timers = self._deps.timers
        timers.every(CUTOFF_INTERVAL_S, self._end_cutoff_window)
        timers.every(LIMIT_INTERVAL_S, self._update_limit)
        timers.every(OUTCOME_PURGE_INTERVAL_S, self.outcomes.remove_expired)

    def announce(self, announced: Announcement, lease_s: float) -> None:
        """Starts to serve the announced backend server.

        A repeated announcement only extends its lease.
        """
        now = self._deps.timers.now()
        self._expires_at = now + lease_s
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
            self._level_count(),
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
        self.owners.set_service(announced.service)
        self._deps.members.update_own(service=announced.service)

    def stop_accepting(self) -> None:
        """Stops accepting new calls; queued calls still run.

        Keyed non-idempotent calls are accepted until another node owns their
        keys.
        """
        if self.leaving or self.announced is None:
            return
        self.leaving = True
        telemetry.event(
            _LOGGER, "upstream.leaving", service=self.announced.service
        )
        self.owners.stopping = True
        self._deps.members.update_own(service="")

    def drain(self, timeout_s: float) -> int:
        """Waits for the transfer of the keys and the end of the calls.

        Waits until other nodes own the keys of this node, then until no calls
        are running or queued. Each wait has a time-out.

        Returns:
            The number of calls still running when the time-out expires.
        """
        deadline = self._deps.timers.now() + timeout_s
        self.owners.wait_until_released(min(timeout_s, OWNERSHIP_TRANSFER_S))
        while self.is_busy() and self._deps.timers.now() < deadline:
            gevent.sleep(_POLL_S)
        return self.admission.running

    def query_outcome(self, key: str) -> calls.Outcome:
        """Returns the outcome recorded for a key.

        Without a record, the outcome is unknown and names the owner of the
        key as its peer.
        """
        recorded = self.outcomes.lookup(key)
        if recorded is not None:
            return recorded
        owner = ownership.owner_in(self.owners.voter.view, key) or ""
        return calls.unknown(NO_RECORD, "ask", owner, 0)

    def is_busy(self) -> bool:
        """Returns whether calls are running or queued."""
        return bool(self.admission.running or self.admission.waiting)

    def report(self) -> peers.LoadReport:
        """Returns the current load report of this node."""
        own = self._deps.members.table.own
        active = self._deps.manifest_watcher.active
        revision = active.revision if active else 0
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
        report["deep"] = self._deps.loads.callee_cutoffs(revision)
        return report

    def serve(self, call: calls.Call) -> calls.Outcome:
        """Runs a call; a keyed non-idempotent call runs at most once.

        The setting `control: none` removes this guarantee.
        """
        if self._deps.cfg.control == "none":
            return self._run(call)
        if not call.needs_owner():
            return self._serve_counting_refusals(call)
        if not self.outcomes.has_record(call.key):
            self._attempts_in_check[call.key] += 1
            try:
                refused = self._check_new_key(call)
            finally:
                self._attempts_in_check[call.key] -= 1
                if not self._attempts_in_check[call.key]:
                    del self._attempts_in_check[call.key]
            if refused is not None:
                return refused
        return self.outcomes.run(call, self._serve_counting_refusals)

    def _check_new_key(self, call: calls.Call) -> calls.Outcome | None:
        """Checks a call whose key has no record.

        Returns:
            Why the call is not queued, as a refusal or an unknown outcome. None
            if it may run.
        """
        node_name = self._deps.cfg.name
        refused = self.owners.refuse_if_not_owner(call)
        if refused is not None:
            return self._count_refusal(refused)
        if self.owners.may_have_run_elsewhere(call):
            return calls.unknown(
                "earlier-owner-gone", "ownership", node_name, 0
            )
        if not self.admission.refuse_if_full(call.level):
            return None
        if self._attempts_in_check[call.key] > 1:
            # Another attempt with this key is still being checked and may run.
            return calls.unknown("another-try", "admission", node_name, 0)
        return self._count_refusal(
            calls.not_run(telemetry.Refusal.SHED, "admission", node_name)
        )

    def _serve_counting_refusals(self, call: calls.Call) -> calls.Outcome:
        return self._count_refusal(self._run_in_slot(call))

    def _count_refusal(self, outcome: calls.Outcome) -> calls.Outcome:
        if outcome.verdict is calls.Verdict.NOT_RUN:
            self._deps.counters.add(REFUSALS, outcome.reason, outcome.step)
        return outcome

    def _run_in_slot(self, call: calls.Call) -> calls.Outcome:
        """Acquires a slot and runs the call."""
        node_name = self._deps.cfg.name
        announced = self.announced
        if announced is None or announced.service != call.service:
            return calls.not_run(
                telemetry.Refusal.NO_UPSTREAM, "upstream", node_name
            )
        if self.leaving and not call.needs_owner():
            # Keyed non-idempotent calls are accepted until another node owns
            # their keys.
            return calls.not_run(
                telemetry.Refusal.LEAVING, "upstream", node_name
            )
        if call.needs_owner() and call.depth == 0:
            # The entry does not check the called services of these calls (see
            # `Router.refuse_at_entry`), so the owner does.
            refused = self._refuse_by_callee_cutoff(call)
            if refused is not None:
                return refused
        admission = self.admission
        expected_s = self._expected_slot_time_s(call)
        try:
            admission.acquire(call.kind, call.level, call.deadline, expected_s)
        except errors.RefusedError as exc:
            return calls.not_run(
                telemetry.Refusal(exc.reason), exc.step, node_name
            )
        started_at = self._deps.timers.now()
        self_time_s: float | None = None
        try:
            outcome, self_time_s = self._run_timed(call)
        finally:
            admission.release(
                call.kind, self._deps.timers.now() - started_at, self_time_s
            )
        return outcome

    def _refuse_by_callee_cutoff(
        self, call: calls.Call
    ) -> calls.Outcome | None:
        active = self._deps.manifest_watcher.active
        if active is None:
            return None
        refused = _callee_check.refuse_by_callee_cutoff(
            call, active, self._deps.loads
        )
        return refused and refused._replace(step="upstream")

    def _run(self, call: calls.Call) -> calls.Outcome:
        return self._run_timed(call)[0]

    def _run_timed(
        self, call: calls.Call
    ) -> tuple[calls.Outcome, float | None]:
        """Runs the call.

        Returns:
            The outcome and the self time in seconds, which excludes the time
            of its child calls. The time is None when the call was not answered.
        """
        started_at = self._deps.timers.now()
        if self._has_lost_ownership(call):
            return calls.not_run(
                telemetry.Refusal.NO_RIGHT, "upstream", self._deps.cfg.name
            ), None
        if call.needs_owner():
            self.outcomes.record_dispatched(call.key)
        parent = self.in_flight.open(call)
        self_time_s: float | None = None
        try:
            outcome = self._send_to_backend(call, parent)
            if outcome.verdict is calls.Verdict.ANSWERED:
                elapsed_s = self._deps.timers.now() - started_at
                self_time_s = max(elapsed_s - parent.child_time_s(), 0.0)
        finally:
            self.in_flight.close(parent)
        self._deps.counters.add(SERVED, str(outcome.verdict))
        return outcome, self_time_s

    def _has_lost_ownership(self, call: calls.Call) -> bool:
        """Returns whether this node may no longer run a keyed call.

        This is checked last, after every wait: the node may have been paused,
        and another node may own the key by now.
        """
        if not call.needs_owner():
            return False
        if self._deps.cfg.control == "none":
            return False
        return not self.owners.may_run(call.key)

    def _send_to_backend(
        self, call: calls.Call, parent: _inflight.ParentRequest
    ) -> calls.Outcome:
        """Sends the call to the backend server and returns the outcome."""
        assert self._pool is not None
        remaining_s = call.deadline - self._deps.timers.now()
        headers = [
            *call.headers,
            (calls.HEADER_CONTEXT, parent.token),
            (calls.HEADER_REQUEST, call.root_id),
            (calls.HEADER_KIND, call.kind),
            (calls.HEADER_DEADLINE, str(max(int(remaining_s * 1000.0), 1))),
        ]
        try:
            response = web.send_request(
                self._pool,
                call.method,
                call.target,
                headers,
                call.body,
                timeout_s=max(remaining_s, 0.001),
                max_body_bytes=self._deps.cfg.max_response_body_bytes,
            )
        except errors.BackendError as exc:
            return self._failure_outcome(exc, parent)
        except errors.BodyTooLargeError as exc:
            return calls.unknown(
                "response-too-large",
                exc.step,
                exc.peer,
                parent.attempts_used(),
            )
        attempts_used = parent.attempts_used()
        if response.header(calls.HEADER_OUTCOME) == str(calls.Verdict.NOT_RUN):
            return calls.not_run(
                telemetry.Refusal.BACKEND_SHED,
                "backend",
                self._pool.peer,
                attempts_used,
            )
        return calls.answered(
            response.status,
            calls.forwardable_headers(response.headers),
            response.body,
            attempts_used,
        )

    def _failure_outcome(
        self, exc: errors.BackendError, parent: _inflight.ParentRequest
    ) -> calls.Outcome:
        """Returns the outcome of a request without a complete response."""
        attempts_used = parent.attempts_used()
        if not exc.sent:
            return calls.not_run(
                telemetry.Refusal.UNREACHABLE, exc.step, exc.peer, attempts_used
            )
        return calls.unknown(exc.message, exc.step, exc.peer, attempts_used)

    def _count_inversions(self) -> None:
        inversions = self.admission.inversions
        if inversions:
            self._deps.counters.add(INVERSIONS, count=inversions)
            self.admission.inversions = 0

    def _expected_slot_time_s(self, call: calls.Call) -> float:
        active = self._deps.manifest_watcher.active
        if active is None or call.kind not in active.manifest.kinds:
            return manifest.DEFAULT_SERVICE_TIME_MS / 1000.0
        return active.manifest.chain_time_ms(call.kind) / 1000.0

    def _end_cutoff_window(self) -> None:
        """Updates the cutoff; ends an announcement whose lease expired."""
        self.admission.update_cutoff()
        self._count_inversions()
        if self.announced is None or self.leaving:
            return
        if self._deps.timers.now() > self._expires_at:
            telemetry.event(
                _LOGGER, "upstream.expired", service=self.announced.service
            )
            self.stop_accepting()
            self.announced = None

    def _update_limit(self) -> None:
        self.admission.update_limit()

    def _rank_of(self, level: int) -> int:
        active = self._deps.manifest_watcher.active
        return active.shedding_order.rank_index(level) if active else 0

    def _level_count(self) -> int:
        active = self._deps.manifest_watcher.active
        return active.shedding_order.level_count if active else 1

    def _on_new_manifest(self, active: configuration.ActiveManifest) -> None:
        self.admission.reset_cutoff(active.shedding_order.level_count)
