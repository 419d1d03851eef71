"""Moves what is known of keys from owner to owner, and knows what was lost."""

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
HANDOVER_TIMEOUT_S = 2.0
HANDOVER_TRIES = 3
RETRY_S = 0.5
#: Seconds that a call waits for handovers that are on their way.
SETTLE_WAIT_S = 1.5
#: Seconds by which a key must be younger than a takeover to be new for sure.
BIRTH_MARGIN_S = 4.0
VIEW_CHANGES = "flamingolug.ownership.views"


class Gap(NamedTuple):
    """Keys whose earlier runs this node knows nothing of."""

    #: They had this owner under this view.
    view: ownership.View
    owner: str
    #: When this node took over, monotonic and wall seconds.
    since: float
    since_wall: float


class Dependencies(NamedTuple):
    """What handing over works with."""

    members: membership.Membership
    links: peers.Links
    outcomes: _outcomes.Outcomes
    timers: timing.Timers
    counters: telemetry.Counters
    next_id: Callable[[], int]


class Handover:
    """Handovers to this node, and the gaps that they left."""

    def __init__(self, deps: Dependencies) -> None:
        """Starts without gaps."""
        deps.counters.declare(
            VIEW_CHANGES, "Views of key owners, by what was done", "result"
        )
        self._deps = deps
        self._gaps: list[Gap] = []
        self._handovers: dict[str, ownership.View] = {}
        self._settled = event.Event()
        self._settled.set()

    def is_doubtful(self, call: calls.Call) -> bool:
        """Returns whether a key unseen here may have run elsewhere.

        It waits for handovers that are on their way.
        """
        left_s = call.deadline - self._deps.timers.now()
        self._settled.wait(max(min(left_s, SETTLE_WAIT_S), 0.0))
        if not self._settled.is_set():
            return True
        for gap in self._gaps:
            if ownership.owner_in(gap.view, call.key) != gap.owner:
                continue
            if call.key_created_at > gap.since_wall + BIRTH_MARGIN_S:
                continue
            return True
        return False

    def take_over(
        self, service: str, old: ownership.View, view: ownership.View
    ) -> None:
        """Fetches the records of keys that this node owns newly."""
        own = self._own_id()
        if own not in view.members or view.epoch == 1:
            return
        sources = {*old.members, *view.members} - {own}
        if old.epoch == view.epoch - 1 and own in old.members:
            sources = set(old.members) - set(view.members)
        for incarnation_id in sources:
            self._handovers[incarnation_id] = old
            self._settled.clear()
            gevent.spawn(
                self._fetch_records, service, incarnation_id, old, view
            )

    def answer(
        self, message: peers.HandoverMessage, view: ownership.View
    ) -> tuple[peers.RecordsMessage, bytes]:
        """Returns the answer to a request for records, and its body."""
        complete = view.epoch >= message["epoch"]
        records: list[peers.RecordMessage] = []
        if complete:
            records = self._deps.outcomes.export(
                lambda key: ownership.owner_in(view, key) == message["name"]
            )
        answer: peers.RecordsMessage = {
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
        """Takes over the records of one earlier owner."""
        complete = False
        for _ in range(HANDOVER_TRIES):
            complete = self._try(service, incarnation_id, view)
            if complete:
                break
            gevent.sleep(RETRY_S)
        if not complete:
            self._add_gap(old if old.epoch else view, incarnation_id)
        self._handovers.pop(incarnation_id, None)
        if not self._handovers:
            self._settled.set()

    def _try(
        self, service: str, incarnation_id: str, view: ownership.View
    ) -> bool:
        """Asks once for the records; returns whether they are complete."""
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
            answer = self._deps.links.to(member.peer).request(
                peers.MessageType.HANDOVER, message, b"", HANDOVER_TIMEOUT_S
            )
        except errors.FlamingolugError:
            return False
        found: peers.RecordsMessage = answer.message
        self._deps.outcomes.take_over(peers.decode_records(answer.body))
        return found["complete"]

    def _add_gap(self, view: ownership.View, owner: str) -> None:
        timers = self._deps.timers
        self._gaps.append(Gap(view, owner, timers.now(), timers.unix_time()))
        self._deps.counters.add(VIEW_CHANGES, "gap")
        telemetry.event(_LOGGER, "owners.gap", peer=owner, epoch=view.epoch)

    def forget_old(self) -> None:
        """Ends doubts about keys that are past their retention."""
        oldest = self._deps.timers.now() - _outcomes.RETENTION_S
        self._gaps = [each for each in self._gaps if each.since > oldest]
