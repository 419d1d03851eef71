"""Writes records of departures that the store has lost.

The store may return from a copy that is older than a record, and the node that
wrote the record may have ended by then. Every node that knows of the departure
therefore makes sure that the store has it. They take turns in an order that all
of them compute alike, so that usually one of them writes.
"""

import logging
from collections.abc import Callable
from typing import NamedTuple

import gevent

from flamingolug import errors
from flamingolug import rendezvous
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.gateway import _backoff
from flamingolug.gateway import _departure_records
from flamingolug.gateway import _departures
from flamingolug.gateway import _metrics
from flamingolug.gateway import _model

_LOGGER = logging.getLogger(__name__)
#: Seconds until the first node in the order writes. The upstream's own node
#: writes before, if it still knows the upstream.
FIRST_TURN_S = 0.2
#: Seconds from the turn of one node to that of the next.
TURN_INTERVAL_S = 0.25
#: Turns with that interval, and seconds between the turns of all further nodes,
#: which are due only if the first ones can't reach the store.
LONG_TURNS = 5
LATE_TURN_INTERVAL_S = 0.02


class Dependencies(NamedTuple):
    """Dependencies of the keeper."""

    #: Address for links of this node.
    link: tuple[str, int]
    timers: timing.Timers
    metrics: _metrics.Metrics
    records: _departure_records.DepartureRecords
    #: Returns the addresses of the nodes that have an entry.
    nodes: Callable[[], list[tuple[str, int]]]
    #: Returns whether the store lacked a departure when it was last read.
    needs_record: Callable[[_model.Upstream], bool]
    #: Returns whether this node's own upstream has departed with an id, so that
    #: its announcer writes the record.
    is_own: Callable[[str], bool]
    #: Returns whether the node is stopping.
    stopping: Callable[[], bool]


def turn_s(key: str, own: str, nodes: list[str]) -> float:
    """Returns the seconds after which a node writes a record.

    Args:
        key: id of the upstream.
        own: the node.
        nodes: all nodes that are known.
    """
    order = rendezvous.candidates_for(key, {own, *nodes})
    before = order.index(own)
    long_turns = min(before, LONG_TURNS)
    late_turns = before - long_turns
    return (
        FIRST_TURN_S
        + TURN_INTERVAL_S * long_turns
        + LATE_TURN_INTERVAL_S * late_turns
    )


class RecordKeeper:
    """Restores the records of departures that this node knows."""

    def __init__(self, deps: Dependencies) -> None:
        """Creates a keeper that restores nothing."""
        self._deps = deps
        #: Ids of the upstreams whose records are being restored.
        self._pending: set[str] = set()

    @property
    def busy(self) -> bool:
        """Whether any record is still to be written."""
        return bool(self._pending)

    def restore(self, departed: _model.Upstream) -> None:
        """Writes a record in the turn of this node, unless another does.

        A node that is stopping does not wait for its turn.
        """
        if departed.id in self._pending:
            return
        self._pending.add(departed.id)
        gevent.spawn(self._restore, departed)

    def _restore(self, departed: _model.Upstream) -> None:
        deps = self._deps
        nodes = [_node_name(address) for address in deps.nodes()]
        delay_s = 0.0
        if not deps.stopping():
            delay_s = turn_s(departed.id, _node_name(deps.link), nodes)
        ends_at = deps.timers.now() + _departures.DEPARTURE_TTL_S
        backoff = _backoff.Backoff("departures")
        try:
            gevent.sleep(delay_s)
            while deps.timers.now() < ends_at:
                if deps.is_own(departed.id) or not deps.needs_record(departed):
                    return
                try:
                    written = deps.records.write(departed)
                except errors.StoreError as exc:
                    backoff.wait(exc)
                    continue
                backoff.reset()
                self._log(departed, written, delay_s)
                return
        finally:
            self._pending.discard(departed.id)

    def _log(
        self, departed: _model.Upstream, written: bool, delay_s: float
    ) -> None:
        result = "written" if written else "present"
        self._deps.metrics.counters.add(_metrics.RECORDS_RESTORED, result)
        telemetry.event(
            _LOGGER,
            "departure.restored",
            upstream=departed.id,
            state=departed.state,
            result=result,
            delay_s=round(delay_s, 2),
        )


def _node_name(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"
