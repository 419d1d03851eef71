"""Calls to the store with which a node announces its upstream.

Pattern: optimistic write. A node that starts writes at once; only one whose
view is outdated reads first. Hundreds of nodes start together.
"""

import random
import types
import unittest
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import cast

import gevent
from gevent import lock

from flamingolug import errors
from flamingolug import store
from flamingolug.gateway import _announcer
from flamingolug.gateway import _backoff
from flamingolug.gateway import _departures
from flamingolug.gateway import _directory
from flamingolug.gateway import _model

_KEY = _directory.PREFIX + "u1"
_ENTRY = _model.Upstream(
    "u1", "s", "z0", "127.0.0.1", 1, 10, _model.UpstreamState.READY, 1, 1
)


class _Store:
    """A store with one key that counts the calls by operation."""

    def __init__(self, revision: int) -> None:
        self.revision = revision
        self.calls: list[str] = []
        #: Value that `read` returns.
        self.value = b""
        self.lose_answers = 0
        #: Whether no lease is granted.
        self.down = False
        #: Called before each write.
        self.before_write: Callable[[], object] = lambda: None
        #: Times to live of the leases granted, seconds.
        self.granted_s: list[float] = []
        #: Leases of the writes.
        self.write_leases: list[int] = []
        #: Revisions at which the key was to be removed.
        self.deleted_at: list[int] = []

    def grant_lease(self, ttl_s: float) -> store.Lease:
        """Returns a lease."""
        self.granted_s.append(ttl_s)
        if self.down:
            raise errors.StoreUnavailableError("down", step="t", peer="t")
        return store.Lease(1, len(self.granted_s))

    def delete(self, key: str, expected: store.Position) -> None:
        """Removes the key if the expected revision is the one stored."""
        del key
        self.deleted_at.append(expected.revision)
        if expected.revision != self.revision:
            raise errors.StoreConflictError("conflict", step="t", peer="t")
        self.revision = 0

    def read(self, key: str) -> store.Page:
        """Returns the item with its revision."""
        self.calls.append("read")
        position = store.Position(1, self.revision)
        items = [store.Item(key, self.value, position)] if self.revision else []
        return store.Page(items, position)

    def write(
        self,
        key: str,
        value: bytes,
        expected: store.Position,
        lease: store.Lease,
        deletes: Sequence[str] = (),
    ) -> store.Position:
        """Writes if the expected revision is the one stored."""
        del key, value, deletes
        self.calls.append("write")
        self.before_write()
        self.write_leases.append(lease.number)
        if expected.revision != self.revision:
            raise errors.StoreConflictError("conflict", step="t", peer="t")
        self.revision += 7
        if self.lose_answers:
            self.lose_answers -= 1
            raise errors.StoreUnavailableError("lost", step="t", peer="t")
        return store.Position(1, self.revision)


class _AnnouncerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.report = _model.Report(
            "u1", "s", 10, _model.UpstreamState.READY, 0.0, 1, 1
        )

    def start_announcer(
        self,
        kv: _Store,
        known_revision: int = 0,
        known_state: _model.UpstreamState = _model.UpstreamState.READY,
    ) -> _announcer.Announcer:
        """Returns an announcer of the report of this test.

        Args:
            kv: store in which it announces.
            known_revision: revision of the directory's entry, 0 for no entry.
            known_state: state of that entry.
        """
        known = None
        if known_revision:
            known = _directory.DirectoryEntry(
                _ENTRY._replace(state=known_state),
                store.Position(1, known_revision),
                known_state is not _model.UpstreamState.READY,
            )
        timers: Any = types.SimpleNamespace(now=lambda: 100.0)
        cfg: Any = types.SimpleNamespace(
            identity=types.SimpleNamespace(zone="z0"),
            link=("h1", 1),
            min_lease_s=1.0,
        )
        announcer = _announcer.Announcer(
            _announcer.Dependencies(
                cfg,
                cast(store.LeasedStore, kv),
                timers,
                lambda: self.report,
                lambda key: known if key == _KEY else None,
                self.handle_departure,
                lambda: 0.0,
                random.Random(1),
            )
        )
        announcer.start()
        self.addCleanup(announcer.stop)
        return announcer

    def handle_departure(self, departed: _model.Upstream) -> None:
        """Leaves, as the gate does."""
        self.leave(departed.state)

    def leave(self, state: _model.UpstreamState) -> None:
        """Sets the state of the report."""
        self.report = self.report._replace(state=state)


class AnnouncementTest(_AnnouncerTest):
    def announce(self, kv: _Store, known_revision: int) -> list[str]:
        """Announces an upstream; returns the reads and writes made."""
        announcer = self.start_announcer(kv, known_revision)
        self.assertTrue(announcer.publish().wait(2.0))
        return kv.calls

    def test_first_announcement_needs_no_read(self) -> None:
        self.assertEqual(self.announce(_Store(0), 0), ["write"])

    def test_entry_of_an_earlier_run_is_replaced_without_a_read(self) -> None:
        self.assertEqual(self.announce(_Store(5), 5), ["write"])

    def test_outdated_revision_is_read_once(self) -> None:
        for known_revision in (0, 3):
            with self.subTest(known_revision=known_revision):
                kv = _Store(5)
                calls = self.announce(kv, known_revision)
                self.assertEqual(calls, ["write", "read", "write"])

    def test_write_whose_answer_is_lost_is_not_overwritten_blindly(
        self,
    ) -> None:
        kv = _Store(0)
        kv.lose_answers = 1
        self.assertEqual(self.announce(kv, 0), ["write", "read", "write"])


class DepartureTest(_AnnouncerTest):
    """Pattern: write-ahead. A departure is acknowledged once it is stored."""

    # Guards against a departure that is acknowledged because the write of an
    # earlier state, in progress when it arrives, has succeeded.
    def test_write_of_an_earlier_state_does_not_count_for_a_departure(
        self,
    ) -> None:
        kv = _Store(0)
        allowed = lock.Semaphore(0)
        kv.before_write = allowed.acquire
        announcer = self.start_announcer(kv)
        announcer.publish()
        gevent.sleep(0.01)
        self.leave(_model.UpstreamState.DRAINING)
        # The write of the ready state succeeds, the next one hangs.
        gevent.spawn_later(0.02, allowed.release)
        self.assertFalse(announcer.publish().wait(0.1))
        self.assertEqual(kv.calls, ["write", "write"])
        allowed.release()
        self.assertTrue(announcer.publish().wait(0.1))

    # Guards against a departure that a stopping node does not write.
    def test_departure_is_written_after_the_entry_was_withdrawn(self) -> None:
        kv = _Store(0)
        announcer = self.start_announcer(kv)
        announcer.publish().wait(0.1)
        announcer.withdraw()
        gevent.sleep(0.01)
        self.assertEqual(kv.deleted_at, [7])
        self.leave(_model.UpstreamState.GONE)
        self.assertTrue(announcer.has_unwritten_departure)
        self.assertTrue(announcer.publish().wait(0.1))
        departed = announcer.make_entry()
        assert departed is not None
        self.assertTrue(announcer.has_departure(departed))
        self.assertFalse(announcer.has_departure(departed._replace(id="u2")))

    # Guards against a stop that ends before a departure is written, since the
    # waits between attempts have grown while the store was away.
    def test_departure_is_tried_often_during_a_stop(self) -> None:
        kv = _Store(0)
        kv.down = True
        announcer = self.start_announcer(kv)
        announcer.publish()
        gevent.sleep(2.0)
        self.leave(_model.UpstreamState.GONE)
        announcer.withdraw()
        # The longest wait that may be in progress.
        gevent.sleep(_backoff.MAX_WAIT_S * 1.5)
        before = len(kv.granted_s)
        gevent.sleep(1.0)
        self.assertGreaterEqual(len(kv.granted_s) - before, 3)

    # Guards against a record that is removed with the lease of the node.
    def test_departure_has_a_lease_of_its_own(self) -> None:
        for state in (
            _model.UpstreamState.DRAINING,
            _model.UpstreamState.GONE,
        ):
            with self.subTest(state):
                self.setUp()
                kv = _Store(0)
                announcer = self.start_announcer(kv)
                announcer.publish().wait(0.1)
                self.leave(state)
                announcer.publish().wait(0.1)
                announcer.withdraw()
                gevent.sleep(0.01)
                self.assertEqual(kv.granted_s[-1], _departures.DEPARTURE_TTL_S)
                self.assertEqual(kv.write_leases, [1, 2])
                self.assertEqual(kv.deleted_at, [])

    # Guards against a store that has lost the entry while the node takes it for
    # written, and against a lease whose number belongs to another node now.
    def test_entry_and_departure_are_written_again_in_a_new_era(self) -> None:
        for state in _model.UpstreamState:
            with self.subTest(state):
                self.setUp()
                kv = _Store(0)
                announcer = self.start_announcer(kv)
                announcer.publish().wait(0.1)
                self.leave(state)
                self.assertTrue(announcer.publish().wait(0.1))
                writes = len(kv.write_leases)
                # The copy has neither.
                kv.revision = 0
                announcer.handle_new_era()
                departs = state is not _model.UpstreamState.READY
                self.assertEqual(announcer.has_unwritten_departure, departs)
                gevent.sleep(0.01)
                self.assertFalse(announcer.has_unwritten_departure)
                self.assertEqual(len(kv.write_leases), writes + 1)
                self.assertEqual(kv.write_leases[-1], writes + 1)

    # Guards against an entry that a copy of the store brings back while its
    # node stops.
    def test_entry_is_removed_again_in_a_new_era(self) -> None:
        kv = _Store(0)
        announcer = self.start_announcer(kv)
        announcer.publish().wait(0.1)
        announcer.withdraw()
        gevent.sleep(0.01)
        kv.revision = 3
        kv.value = _directory.encode_entry(_ENTRY)
        announcer.handle_new_era()
        gevent.sleep(0.01)
        self.assertEqual(kv.deleted_at, [7, 3])
        self.assertEqual(kv.revision, 0)

    # Guards against a fleet that writes more than the store accepts.
    def test_entries_are_written_again_within_the_rate_of_the_store(
        self,
    ) -> None:
        for nodes, writes_per_s in ((17, 400.0), (194, 3200.0), (730, 8000.0)):
            with self.subTest(nodes=nodes):
                window_s = _announcer.rewrite_window_s(nodes, writes_per_s)
                calls = nodes * _announcer.REWRITE_CALLS
                self.assertLess(calls / window_s, writes_per_s)
                # The store is found back, entries are written, and read.
                latest_s = (
                    _backoff.MAX_WAIT_S * 1.5
                    + window_s
                    + _directory.batch_delay_s(nodes, era_age_s=0.0)
                )
                self.assertLess(latest_s, _directory.LAPSE_GRACE_S)

    # Guards against a late report that replaces the record of a departure which
    # an earlier process has acknowledged.
    def test_record_of_a_departure_is_not_replaced(self) -> None:
        for state in (
            _model.UpstreamState.DRAINING,
            _model.UpstreamState.GONE,
        ):
            for known_revision in (0, 5):
                with self.subTest(state, known_revision=known_revision):
                    self.setUp()
                    kv = _Store(5)
                    record = _ENTRY._replace(state=state)
                    kv.value = _directory.encode_entry(record)
                    written: list[_model.UpstreamState] = []

                    def note_state(
                        written: list[_model.UpstreamState] = written,
                    ) -> None:
                        written.append(self.report.state)

                    kv.before_write = note_state
                    announcer = self.start_announcer(kv, known_revision, state)
                    self.assertTrue(announcer.publish().wait(2.0))
                    self.assertEqual(self.report.state, state)
                    # A first write that expects no entry does no harm.
                    self.assertEqual(written[-1], state)
                    self.assertEqual(
                        written[:-1].count(_model.UpstreamState.READY),
                        0 if known_revision else 1,
                    )

    # Guards against a record that keeps the next incarnation out.
    def test_record_of_an_earlier_incarnation_is_replaced(self) -> None:
        kv = _Store(5)
        self.report = self.report._replace(start_time_ms=2)
        gone = _model.UpstreamState.GONE
        announcer = self.start_announcer(kv, 5, gone)
        self.assertTrue(announcer.publish().wait(2.0))
        self.assertEqual(self.report.state, _model.UpstreamState.READY)
        self.assertEqual(kv.calls, ["write"])


class BatchTest(unittest.TestCase):
    """One answered watch returns the changes of many nodes."""

    def test_starting_fleet_is_read_in_few_answers(self) -> None:
        """Entries come in for 8 s; each node's watch is answered 5 times."""
        for nodes, most_answers in ((17, 20), (194, 5), (730, 5)):
            with self.subTest(nodes=nodes):
                delay_s = _directory.batch_delay_s(nodes)
                self.assertLessEqual(8.0 / delay_s, most_answers)

    def test_entry_is_read_again_before_its_grace_ends(self) -> None:
        self.assertLessEqual(
            _directory.batch_delay_s(730), _directory.LAPSE_GRACE_S
        )

    def test_lag_of_a_batch_does_not_count_as_a_broken_watch(self) -> None:
        slow_store_s = 1.0
        self.assertGreater(
            _directory.MAX_LAG_S, _directory.batch_delay_s(730) + slow_store_s
        )
