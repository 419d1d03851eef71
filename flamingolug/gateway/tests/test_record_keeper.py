"""Records of departures that a copy of the store does not have.

The pattern is a turn order that all nodes compute alike, as in rendezvous
hashing: one node acts, and the next one if it can't.
"""

import types
import unittest
from typing import Any
from typing import cast
from unittest import mock

import gevent

from flamingolug import errors
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.gateway import _departure_records
from flamingolug.gateway import _metrics
from flamingolug.gateway import _model
from flamingolug.gateway import _record_keeper

_GONE = _model.Upstream(
    "u1", "s", "z", "127.0.0.9", 9, 1, _model.UpstreamState.GONE, 5, 1
)


class TurnTest(unittest.TestCase):
    # Guards against a herd: each node knows the departure.
    def test_each_node_has_a_turn_of_its_own(self) -> None:
        nodes = [f"10.0.0.{number}:1" for number in range(194)]
        turns = sorted(
            _record_keeper.turn_s("u1", each, nodes) for each in nodes
        )
        self.assertEqual(len(set(turns)), len(nodes))
        # The first turns leave time for a watch to return the record.
        gap_s = turns[1] - turns[0]
        self.assertAlmostEqual(gap_s, _record_keeper.TURN_INTERVAL_S)

    def test_different_departures_are_written_by_different_nodes(self) -> None:
        nodes = [f"10.0.0.{number}:1" for number in range(20)]
        first = {
            min(nodes, key=lambda each: _record_keeper.turn_s(key, each, nodes))
            for key in ("u1", "u2", "u3", "u4", "u5", "u6")
        }
        self.assertGreater(len(first), 2)


class KeeperTest(unittest.TestCase):
    def setUp(self) -> None:
        self.is_own = False
        self.is_stopping = False
        self.needs_record = True
        self.written: list[_model.Upstream] = []
        self.failures = 0
        for name in ("FIRST_TURN_S", "TURN_INTERVAL_S"):
            patcher = mock.patch.object(_record_keeper, name, 0.05)
            patcher.start()
            self.addCleanup(patcher.stop)

    def write(self, departed: _model.Upstream) -> bool:
        if self.failures:
            self.failures -= 1
            raise errors.StoreUnavailableError("down", step="t", peer="t")
        self.written.append(departed)
        return True

    def make_keeper(self) -> _record_keeper.RecordKeeper:
        records: Any = types.SimpleNamespace(write=self.write)
        return _record_keeper.RecordKeeper(
            _record_keeper.Dependencies(
                ("h", 1),
                timing.GeventTimers(),
                _metrics.Metrics(telemetry.Counters("n", "", 0.0)),
                cast(_departure_records.DepartureRecords, records),
                lambda: [("h", 1)],
                lambda departed: self.needs_record,
                lambda upstream_id: self.is_own,
                lambda: self.is_stopping,
            )
        )

    def restore(self, wait_s: float = 0.1) -> None:
        keeper = self.make_keeper()
        keeper.restore(_GONE)
        keeper.restore(_GONE)
        gevent.sleep(wait_s)

    def test_lost_record_is_written_once(self) -> None:
        self.restore()
        self.assertEqual(self.written, [_GONE])

    def test_record_is_written_although_the_store_fails_at_first(self) -> None:
        self.failures = 2
        self.restore(1.2)
        self.assertEqual(self.written, [_GONE])

    def test_record_that_another_node_has_written_is_not_written(self) -> None:
        self.needs_record = False
        self.restore()
        self.assertEqual(self.written, [])

    # Guards against a node that ends before its turn, and is the last one that
    # knows of a departure.
    def test_stopping_node_does_not_wait_for_its_turn(self) -> None:
        self.is_stopping = True
        with mock.patch.object(_record_keeper, "FIRST_TURN_S", 9.0):
            self.restore(0.01)
        self.assertEqual(self.written, [_GONE])

    def test_announcer_writes_the_record_of_the_own_upstream(self) -> None:
        self.is_own = True
        self.restore()
        self.assertEqual(self.written, [])
