"""Records of departures in the store, written by any node that can reach it.

A departure is acknowledged once its record is in the store, since a process
that starts later reads it there. The store may turn a single node away, so a
node that can't write the record asks other nodes to write it.
"""

import itertools
import logging
import random
from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple

import gevent
from gevent import event

from flamingolug import errors
from flamingolug import store
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.gateway import _departures
from flamingolug.gateway import _directory
from flamingolug.gateway import _frames
from flamingolug.gateway import _held_lease
from flamingolug.gateway import _link
from flamingolug.gateway import _metrics
from flamingolug.gateway import _model

_LOGGER = logging.getLogger(__name__)
#: Seconds between renewals of the lease of a record. A node renews that of its
#: own upstream's record, and does not renew those that it writes for peers.
RENEWAL_INTERVAL_S = 20.0
#: Nodes that are asked at once: the store may turn away a third of a fleet.
NODES_PER_ROUND = 3
#: Seconds after which further nodes are asked.
ROUND_INTERVAL_S = 0.2
#: Nodes that are told of each departure.
NODES_TOLD = 2
#: Seconds within which a link to them is opened.
TELL_WAIT_S = 1.0
#: Attempts to write one record; another writer may change the key in between.
MAX_WRITES = 3


class Dependencies(NamedTuple):
    """Dependencies of the records."""

    store: store.LeasedStore
    timers: timing.Timers
    rng: random.Random
    links: _link.Links
    metrics: _metrics.Metrics
    #: Handles the departure of a peer's upstream.
    on_departure: Callable[[_model.Upstream], None]
    #: Returns the addresses of the other nodes.
    peers: Callable[[], list[tuple[str, int]]]
    #: Shortest lease that the store grants, seconds.
    min_lease_s: float


class DepartureRecords:
    """Writes records of departures, or has other nodes write them."""

    def __init__(self, deps: Dependencies) -> None:
        """Creates an instance that has written nothing."""
        self._deps = deps
        self._lease = _held_lease.HeldLease(
            deps.store,
            deps.timers,
            max(_departures.DEPARTURE_TTL_S, deps.min_lease_s),
            RENEWAL_INTERVAL_S,
        )
        self._numbers = itertools.count(1)
        #: Set when a node has confirmed the record, by number of the request.
        self._confirmed: dict[int, event.Event] = {}

    def write(self, departed: _model.Upstream) -> bool:
        """Writes the record of a departure; returns False if it is there.

        Raises:
            StoreError: it is not known to be in the store.
        """
        for attempt in range(MAX_WRITES):
            try:
                return self._write_once(departed)
            except errors.LeaseLostError:
                self._lease.forget()
                if attempt == MAX_WRITES - 1:
                    raise
            except errors.StoreConflictError:
                if attempt == MAX_WRITES - 1:
                    raise
        raise AssertionError

    def _write_once(self, departed: _model.Upstream) -> bool:
        key = _directory.PREFIX + departed.id
        items = self._deps.store.read(key).items
        position = items[0].position if items else store.NO_POSITION
        stored = None
        if items and items[0].value is not None:
            stored = _directory.decode_entry(key, items[0].value)
        if stored is not None and _departures.is_departed(stored, departed):
            return False
        value = _directory.encode_entry(departed)
        lease = self._lease.hold()
        self._deps.store.write(key, value, position, lease)
        return True

    def handle_frame(
        self, frame: _frames.DepartureFrame, confirm: Callable[[], object]
    ) -> None:
        """Handles a departure, and records it if the peer requests that.

        Args:
            frame: the departure.
            confirm: called when the record is in the store.
        """
        departed = _directory.decode_entry(frame.key, frame.value)
        if departed is None or departed.state is _model.UpstreamState.READY:
            return
        self._deps.on_departure(departed)
        if frame.number:
            gevent.spawn(self._write_for_peer, departed, confirm)

    def _write_for_peer(
        self, departed: _model.Upstream, confirm: Callable[[], object]
    ) -> None:
        peer = f"{departed.host}:{departed.port}"
        try:
            self.write(departed)
        except errors.StoreError as exc:
            telemetry.failure(_LOGGER, "departure.not_recorded", exc)
            return
        telemetry.event(
            _LOGGER,
            "departure.recorded",
            upstream=departed.id,
            state=departed.state,
            peer=peer,
        )
        confirm()

    def handle_recorded(self, number: int) -> None:
        """Handles the answer of a node that has written a record."""
        confirmed = self._confirmed.get(number)
        if confirmed is not None:
            confirmed.set()

    def tell_peers(self, departed: _model.Upstream) -> None:
        """Tells a few other nodes of a departure, linked ones first.

        They know of it if the store loses the record and this node ends.
        """
        notice = _frames.DepartureFrame(
            0,
            _directory.PREFIX + departed.id,
            _directory.encode_entry(departed),
        )
        for address in itertools.islice(self._peers_in_order(), NODES_TOLD):
            gevent.spawn(self._ask, address, notice, TELL_WAIT_S)

    def ask_peers(
        self, departed: _model.Upstream, wait_s: float
    ) -> event.Event:
        """Asks other nodes to write a record.

        Args:
            departed: the upstream in its state of departure.
            wait_s: seconds within which the record is needed.

        Returns:
            An event that is set when a node has confirmed the record.
        """
        confirmed = event.Event()
        gevent.spawn(self._ask_in_rounds, departed, wait_s, confirmed)
        return confirmed

    def _ask_in_rounds(
        self, departed: _model.Upstream, wait_s: float, confirmed: event.Event
    ) -> None:
        number = next(self._numbers)
        self._confirmed[number] = confirmed
        request = _frames.DepartureFrame(
            number,
            _directory.PREFIX + departed.id,
            _directory.encode_entry(departed),
        )
        ends_at = self._deps.timers.now() + wait_s
        peers = self._peers_in_order()
        asked = 0
        try:
            while not confirmed.is_set():
                left_s = ends_at - self._deps.timers.now()
                if left_s <= 0.0:
                    break
                batch = list(itertools.islice(peers, NODES_PER_ROUND))
                for address in batch:
                    gevent.spawn(self._ask, address, request, left_s)
                asked += len(batch)
                confirmed.wait(min(left_s, ROUND_INTERVAL_S))
        finally:
            del self._confirmed[number]
        result = "confirmed" if confirmed.is_set() else "unconfirmed"
        self._deps.metrics.counters.add(_metrics.DEPARTURE_REQUESTS, result)
        telemetry.event(
            _LOGGER,
            "departure.passed_on",
            upstream=departed.id,
            state=departed.state,
            result=result,
            asked=asked,
        )

    def _peers_in_order(self) -> Iterator[tuple[str, int]]:
        """Returns the other nodes in random order, linked ones first."""
        peers = self._deps.peers()
        self._deps.rng.shuffle(peers)
        peers.sort(key=self._deps.links.is_live, reverse=True)
        return iter(peers)

    def _ask(
        self,
        address: tuple[str, int],
        request: _frames.DepartureFrame,
        wait_s: float,
    ) -> None:
        try:
            self._deps.links.link_to(address, wait_s).send(request)
        except errors.PeerUnreachableError as exc:
            telemetry.failure(_LOGGER, "departure.not_passed_on", exc)
