"""Asks other nodes for what the store does not tell.

While the store does not answer this node, others are asked for the entries.

A node that starts must know of departures before it accepts a report. What one
peer knows may be incomplete: the store may have turned that peer away too,
since before a departure was recorded. A peer is therefore asked to read the
store before it answers. Without such an answer, what many peers know together
counts.

Once the store has answered, a few nodes are asked all the same: the store may
have just returned from a copy that lacks what they know, departures and the
latest configuration.
"""

import logging
import random
from typing import NamedTuple

import gevent
from gevent import event

from flamingolug import errors
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.gateway import _directory
from flamingolug.gateway import _frames
from flamingolug.gateway import _link

_LOGGER = logging.getLogger(__name__)
#: Nodes that are asked at once, and seconds after which further ones are.
NODES_PER_ROUND = 3
ROUND_INTERVAL_S = 0.2
#: Nodes that are asked after the store has answered.
NODES_ASKED_AT_START = 2
#: Seconds after which a node that was asked counts as one that does not answer.
#: It waits for the store, which may be silent.
ANSWER_TIMEOUT_S = 2.0
#: Answers of nodes that the store does not answer either, which together count
#: as knowledge. If the store turns away a third of a fleet, less than one in
#: 4,000 sets of eight random nodes are all turned away.
MIN_ANSWERS = 8


class Dependencies(NamedTuple):
    """Dependencies of the inquiry."""

    #: Address for links of this node.
    link: tuple[str, int]
    timers: timing.Timers
    rng: random.Random
    links: _link.Links
    directory: _directory.Directory


class PeerInquiry:
    """Handles answers of peers, and asks more of them if necessary."""

    def __init__(self, deps: Dependencies) -> None:
        """Creates an inquiry that has asked nobody."""
        self._deps = deps
        self._is_running = False
        #: When each node that was asked counts as one that does not answer.
        self._asked: dict[tuple[str, int], float] = {}
        #: Nodes of those that have answered.
        self._answered: set[tuple[str, int]] = set()
        self._changed = event.Event()

    def handle_answer(
        self, known: _directory.KnownEntries, address: tuple[str, int] | None
    ) -> None:
        """Handles the entries that a peer knows.

        Args:
            known: the entries.
            address: address of the peer if this node opened the link.
        """
        directory = self._deps.directory
        directory.merge_from_peer(known)
        if directory.informed.is_set():
            self._changed.set()
            return
        if address in self._asked:
            self._answered.add(address)
            self._changed.set()
        if not self._is_running:
            self._is_running = True
            gevent.spawn(self._ask_in_rounds)

    def ask_some(self) -> None:
        """Asks a few near nodes for what they know and the store may lack.

        They tell the version of their configuration when the link opens.
        """
        after = self._deps.directory.complete_position
        request = _frames.EntriesRequest(after.revision, after_era=after.era)
        nodes = self._deps.directory.nodes_by_distance()
        others = [each for each in nodes if each != self._deps.link]
        for address in others[:NODES_ASKED_AT_START]:
            gevent.spawn(self._ask, address, request)

    def _ask_in_rounds(self) -> None:
        """Asks the nodes that are known until enough is known of departures."""
        deps = self._deps
        began_at = deps.timers.now()
        request = _frames.EntriesRequest(0, read_store=True)
        try:
            while not deps.directory.informed.is_set():
                unasked = [
                    each
                    for each in deps.directory.node_addresses()
                    if each not in self._asked and each != deps.link
                ]
                if self._is_enough(unasked):
                    deps.directory.informed.set()
                    break
                deps.rng.shuffle(unasked)
                for address in unasked[:NODES_PER_ROUND]:
                    self._asked[address] = deps.timers.now() + ANSWER_TIMEOUT_S
                    gevent.spawn(self._ask, address, request)
                self._changed.clear()
                self._changed.wait(ROUND_INTERVAL_S)
        finally:
            self._is_running = False
        telemetry.event(
            _LOGGER,
            "directory.informed",
            asked=len(self._asked),
            answered=len(self._answered),
            by_store=deps.directory.synced.is_set(),
            took_s=round(deps.timers.now() - began_at, 3),
        )

    def _is_enough(self, unasked: list[tuple[str, int]]) -> bool:
        """Returns whether the answers together count as knowledge."""
        if len(self._answered) >= MIN_ANSWERS:
            return True
        now = self._deps.timers.now()
        is_waiting = any(
            ends_at > now
            for address, ends_at in self._asked.items()
            if address not in self._answered
        )
        return not (unasked or is_waiting)

    def _ask(
        self, address: tuple[str, int], request: _frames.EntriesRequest
    ) -> None:
        try:
            link = self._deps.links.link_to(address, ANSWER_TIMEOUT_S)
            link.send(request)
        except errors.PeerUnreachableError as exc:
            if address in self._asked:
                self._asked[address] = 0.0
                self._changed.set()
            telemetry.failure(_LOGGER, "directory.not_asked", exc)
