"""Transfers records of keys between owners and tracks lost records."""

import logging
from collections.abc import Callable
from typing import NamedTuple

import gevent
from gevent import event

from flamingolug import calls
from flamingolug import errors
from flamingolug import membership
from flamingolug import ownership
from flamingolug import peers
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.node import _outcomes

_LOGGER = logging.getLogger(__name__)
#: Seconds to wait for the answer to one request for records.
HANDOVER_TIMEOUT_S = 2.0
#: Requests for records to one earlier owner before a gap is recorded.
HANDOVER_ATTEMPTS = 3
#: Seconds between two requests for records to one earlier owner.
RETRY_INTERVAL_S = 0.5
#: Longest time in seconds that a call waits for pending handovers.
HANDOVER_WAIT_S = 1.5
#: A key is certain to be new only if it was created more than this many seconds
#: after the gap was recorded.
KEY_AGE_MARGIN_S = 4.0
OWNERSHIP_EVENTS = "flamingolug.ownership.views"


class Gap(NamedTuple):
    """Keys whose earlier calls this node has no records of."""

    #: View under which `owner` owned the keys.
    view: ownership.View
    #: Incarnation id of the earlier owner.
    owner: str
    #: When the gap was recorded, in monotonic seconds.
    recorded_at: float
    #: The same in Unix seconds.
    recorded_at_unix_time: float


class Dependencies(NamedTuple):
    """Dependencies of `Handover`."""

    members: membership.Membership
    links: peers.Links
    outcomes: _outcomes.Outcomes
    timers: timing.Timers
    counters: telemetry.Counters
    next_id: Callable[[], int]


class Handover:
    """Fetches records from earlier owners and tracks gaps in them."""

    def __init__(self, deps: Dependencies) -> None:
        """Starts without gaps."""
        deps.counters.declare(
            OWNERSHIP_EVENTS, "Views of key owners, by what was done", "result"
        )
        self._deps = deps
        self._gaps: list[Gap] = []
        #: Handovers in progress: the earlier view, by incarnation id of the
        #: earlier owner.
        self._pending: dict[str, ownership.View] = {}
        #: Set while no handover is pending.
        self._idle = event.Event()
        self._idle.set()

    def may_have_run_elsewhere(self, call: calls.Call) -> bool:
        """Returns whether an earlier call with this key may have run elsewhere.

        The key has no record at this node. Waits up to `HANDOVER_WAIT_S` for
        pending handovers.
        """
        remaining_s = call.deadline - self._deps.timers.now()
        self._idle.wait(max(min(remaining_s, HANDOVER_WAIT_S), 0.0))
        if not self._idle.is_set():
            return True
        for gap in self._gaps:
            if ownership.owner_in(gap.view, call.key) != gap.owner:
                continue
            if (
                call.key_created_at
                > gap.recorded_at_unix_time + KEY_AGE_MARGIN_S
            ):
                continue
            return True
        return False

    def start_fetching(
        self, service: str, old: ownership.View, view: ownership.View
    ) -> None:
        """Starts to fetch the records of keys that this node has gained."""
        own = self._own_id()
        # The first view has no earlier owner.
        if own not in view.members or view.epoch == 1:
            return
        # A node that joins or has skipped views may gain keys from any member.
        # A node that is a member of both the preceding view and this one gains
        # keys only from members that departed.
        sources = {*old.members, *view.members} - {own}
        if old.epoch == view.epoch - 1 and own in old.members:
            sources = set(old.members) - set(view.members)
        for incarnation_id in sources:
            self._pending[incarnation_id] = old
            self._idle.clear()
            gevent.spawn(
                self._fetch_records, service, incarnation_id, old, view
            )

    def answer(
        self, message: peers.HandoverMessage, view: ownership.View
    ) -> tuple[peers.OutcomeRecordsMessage, bytes]:
        """Returns the reply to a request for records, and its body."""
        complete = view.epoch >= message["epoch"]
        records: list[peers.OutcomeRecord] = []
        if complete:
            records = self._deps.outcomes.export_records(
                lambda key: ownership.owner_in(view, key) == message["name"]
            )
        answer: peers.OutcomeRecordsMessage = {
            "id": message["id"],
            "complete": complete,
        }
        return answer, peers.encode_records(records)

    def _own_id(self) -> str:
        return self._deps.members.table.own.incarnation_id()

    def _fetch_records(
        self,
        service: str,
        incarnation_id: str,
        old: ownership.View,
        view: ownership.View,
    ) -> None:
        """Fetches the records of one earlier owner, or records a gap."""
        complete = False
        for _ in range(HANDOVER_ATTEMPTS):
            complete = self._fetch_once(service, incarnation_id, view)
            if complete:
                break
            gevent.sleep(RETRY_INTERVAL_S)
        if not complete:
            self._add_gap(old if old.epoch else view, incarnation_id)
        self._pending.pop(incarnation_id, None)
        if not self._pending:
            self._idle.set()

    def _fetch_once(
        self, service: str, incarnation_id: str, view: ownership.View
    ) -> bool:
        """Requests the records once; returns whether they are complete."""
        member = self._deps.members.table.by_incarnation_id(incarnation_id)
        if member is None or member.state is membership.MemberState.DEAD:
            return False
        message: peers.HandoverMessage = {
            "id": self._deps.next_id(),
            "name": self._own_id(),
            "svc": service,
            "epoch": view.epoch,
            "members": list(view.members),
        }
        try:
            answer = self._deps.links.link_to(member.peer).request(
                peers.MessageType.HANDOVER, message, b"", HANDOVER_TIMEOUT_S
            )
        except errors.FlamingolugError:
            return False
        response: peers.OutcomeRecordsMessage = answer.message
        self._deps.outcomes.import_records(peers.decode_records(answer.body))
        return response["complete"]

    def _add_gap(self, view: ownership.View, owner: str) -> None:
        timers = self._deps.timers
        self._gaps.append(Gap(view, owner, timers.now(), timers.unix_time()))
        self._deps.counters.add(OWNERSHIP_EVENTS, "gap")
        telemetry.event(_LOGGER, "owners.gap", peer=owner, epoch=view.epoch)

    def remove_expired_gaps(self) -> None:
        """Removes gaps that are older than the retention of records."""
        oldest = self._deps.timers.now() - _outcomes.RETENTION_S
        self._gaps = [each for each in self._gaps if each.recorded_at > oldest]
