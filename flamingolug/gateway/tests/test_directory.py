"""Directory of upstreams when the store or its watch fails."""

import random
import types
import unittest
from typing import Any
from typing import cast

import gevent

from flamingolug import errors
from flamingolug import store
from flamingolug.gateway import _directory
from flamingolug.gateway import _model

#: Seconds between checks of the watch in these tests.
_CHECK_INTERVAL_S = 7.0


def _at(revision: int, era: int = 1) -> store.Position:
    return store.Position(era, revision)


def _item(name: str, revision: int, host: str = "") -> store.Item:
    host = host or f"10.0.0.{ord(name[0])}"
    upstream = _model.Upstream(
        name, "s", "z0", host, 1, 10, _model.UpstreamState.READY, 1, 1
    )
    return store.Item(
        _directory.PREFIX + name,
        _directory.encode_entry(upstream),
        store.Position(1, revision),
    )


def _departed(name: str, start_time_ms: int) -> store.Item:
    item = _item(name, 0)
    upstream = _directory.decode_entry(item.key, item.value or b"")
    assert upstream is not None
    gone = upstream._replace(
        state=_model.UpstreamState.GONE, start_time_ms=start_time_ms
    )
    return store.Item(
        item.key, _directory.encode_entry(gone), store.NO_POSITION
    )


class _Store:
    """A store whose watches return only if they need not wait."""

    def __init__(self) -> None:
        self.items: list[store.Item] = []
        self.era = 1
        self.as_of = 0
        self.unavailable = False
        self.list_calls = 0
        self.check_calls = 0
        self.era_checks = 0

    def recheck_era(self) -> None:
        """Counts the calls."""
        self.era_checks += 1

    def list_prefix(self, prefix: str) -> store.Page:
        """Returns all entries, unless the store is unavailable."""
        del prefix
        self.list_calls += 1
        if self.unavailable:
            raise errors.StoreUnavailableError("down", step="t", peer="t")
        items = [
            item._replace(position=item.position._replace(era=self.era))
            for item in self.items
        ]
        return store.Page(items, store.Position(self.era, self.as_of))

    def watch(
        self, prefix: str, after: store.Position, wait_s: float
    ) -> store.Page:
        """Returns later entries, without end if it may wait."""
        del prefix
        if not wait_s:
            self.check_calls += 1
            if self.unavailable:
                raise errors.StoreUnavailableError("down", step="t", peer="t")
            items = [item for item in self.items if item.position > after]
            return store.Page(items, store.Position(1, self.as_of))
        gevent.sleep(3600.0)
        raise AssertionError


class DirectoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.time_s = 100.0
        self.store = _Store()
        self.requests_to_peers = 0
        self.departed: list[_model.Upstream] = []
        self.unrecorded: list[_model.Upstream] = []
        self.used_at = 0.0
        subscription = types.SimpleNamespace(cancel=lambda: None)
        timers: Any = types.SimpleNamespace(
            now=lambda: self.time_s, every=lambda *args: subscription
        )
        self.directory = _directory.Directory(
            _directory.Dependencies(
                "z0",
                random.Random(1),
                cast(store.LeasedStore, self.store),
                timers,
                lambda upstream: False,
                lambda key: None,
                self.departed.append,
                self._request_from_peer,
                lambda: self.used_at,
                lambda: _CHECK_INTERVAL_S,
                self.unrecorded.append,
                lambda: None,
            )
        )
        self.addCleanup(self.directory.stop)

    def _request_from_peer(self) -> None:
        self.requests_to_peers += 1

    def _start(self) -> None:
        self.directory.start()
        gevent.sleep(0.01)

    def _merge(self, *ready: store.Item) -> None:
        """Merges the ready entries of a peer."""
        self.directory.merge_from_peer(_directory.KnownEntries(list(ready), []))

    def _names(self) -> set[str]:
        by_zone = self.directory.entries_by_zone("s")
        return {entry.upstream.id for entry in by_zone.own_zone}

    def test_watch_that_lags_behind_a_peer_is_restarted(self) -> None:
        self.store.items = [_item("a", 5)]
        self.store.as_of = 7
        self._start()
        self.store.items.append(_item("b", 9))
        self.store.as_of = 9
        self.assertFalse(self.directory.record_peer_position(_at(9)))
        self.time_s += _directory.MAX_LAG_S
        # Another peer may lag too.
        self.assertFalse(self.directory.record_peer_position(_at(7)))
        self.assertTrue(self.directory.record_peer_position(_at(9)))
        gevent.sleep(0.01)
        self.assertEqual(self._names(), {"a", "b"})

    def test_watch_is_kept_when_peers_report_no_later_revision(self) -> None:
        self.store.items = [_item("a", 5)]
        self.store.as_of = 7
        self._start()
        for revision in (0, 5, 7):
            for _ in range(4):
                self.time_s += _directory.MAX_LAG_S
                self.assertFalse(
                    self.directory.record_peer_position(_at(revision))
                )
        self.assertEqual(self.store.list_calls, 1)

    def test_lag_starts_anew_after_the_node_has_caught_up(self) -> None:
        self._start()
        self.directory.record_peer_position(_at(9))
        self._merge(_item("a", 9))
        self.time_s += _directory.MAX_LAG_S
        self.assertFalse(self.directory.record_peer_position(_at(10)))

    def test_restarts_are_limited_while_the_store_is_unavailable(self) -> None:
        self._start()
        self.store.unavailable = True
        requests = 0
        for _ in range(200):
            self.time_s += 0.1
            requests += self.directory.record_peer_position(_at(9))
            gevent.sleep(0)
        self.assertEqual(self.store.list_calls, 2)
        self.assertLessEqual(requests, 4)

    def _pass_time(self, seconds: float) -> None:
        """Lets time pass, with a look whether a check is due at its end."""
        self.time_s += seconds
        self.directory._check_if_due()
        gevent.sleep(0.01)

    # Guards against a watch that receives nothing until its wait ends.
    def test_lost_change_is_found_by_a_check_of_a_node_in_use(self) -> None:
        self._start()
        self.store.items = [_item("a", 5)]
        self.store.as_of = 5
        self.used_at = self.time_s + 1.0
        self._pass_time(_CHECK_INTERVAL_S - 0.1)
        self.assertEqual(self._names(), set())
        self._pass_time(0.1)
        self.assertEqual(self._names(), {"a"})

    def test_checks_without_changes_keep_the_watch(self) -> None:
        self._start()
        for _ in range(4):
            self.used_at = self.time_s + 1.0
            self._pass_time(_CHECK_INTERVAL_S)
        self.assertEqual(self.store.check_calls, 4)
        self.assertEqual(self.store.list_calls, 1)

    def test_node_without_requests_makes_no_checks(self) -> None:
        self._start()
        self._pass_time(10 * _CHECK_INTERVAL_S)
        self.assertEqual(self.store.check_calls, 0)

    def test_only_newer_entries_of_a_peer_are_merged(self) -> None:
        self.store.items = [_item("a", 5), _item("b", 6)]
        self.store.as_of = 8
        self._start()
        self._merge(_item("old", 7), _item("new", 9))
        self.assertEqual(self._names(), {"a", "b", "new"})
        self.assertEqual(self.directory.position, _at(9))

    def test_new_upstream_replaces_only_the_older_one_at_its_address(
        self,
    ) -> None:
        for item in (
            _item("a", 1, "10.0.1.1"),
            _item("a", 2, "10.0.1.2"),
            _item("b", 3, "10.0.1.1"),
            _item("c", 4, "10.0.1.1"),
            _item("d", 5, "10.0.1.2"),
        ):
            self.directory.apply(item)
        self.assertEqual(self._names(), {"c", "d"})

    def test_moved_entry_counts_at_its_new_address(self) -> None:
        for item in (
            _item("a", 1, "10.0.1.1"),
            _item("a", 2, "10.0.1.2"),
            _item("b", 3, "10.0.1.1"),
        ):
            self.directory.apply(item)
        self.assertEqual(self._names(), {"a", "b"})
        self.assertEqual(self.directory.node_count(), 2)

    def test_nodes_of_the_own_zone_come_first(self) -> None:
        far = _item("a", 1)
        upstream = _directory.decode_entry(far.key, far.value or b"")
        assert upstream is not None
        value = _directory.encode_entry(upstream._replace(zone="z9"))
        self.directory.apply(far._replace(value=value))
        self.directory.apply(_item("b", 2))
        own_zone, other_zone = self.directory.nodes_by_distance()
        self.assertEqual(own_zone, ("10.0.0.98", 1))
        self.assertEqual(other_zone, ("10.0.0.97", 1))

    def test_entries_returns_only_later_revisions(self) -> None:
        self.store.items = [_item("a", 5), _item("b", 9)]
        self.store.as_of = 9
        self._start()
        known = self.directory.entries(_at(5))
        assert known is not None
        self.assertEqual([item.position.revision for item in known.ready], [9])

    # Guards against an entry, or a report that is accepted by it, of an
    # upstream whose departure only peers know of.
    def test_departure_that_a_peer_tells_outweighs_the_entry(self) -> None:
        gone = _departed("a", 1)
        for is_read_first in (True, False):
            with self.subTest(is_read_first=is_read_first):
                self.setUp()
                if is_read_first:
                    self.directory.apply(_item("a", 5))
                self.directory.merge_from_peer(
                    _directory.KnownEntries([], [gone])
                )
                if not is_read_first:
                    self.directory.apply(_item("a", 5))
                self.assertEqual(self._names(), set())
                found = self.directory.find("a")
                assert found is not None
                self.assertEqual(found.state, _model.UpstreamState.GONE)
                self.assertEqual({each.id for each in self.departed}, {"a"})

    def test_departure_says_nothing_of_the_next_incarnation(self) -> None:
        self.directory.merge_from_peer(
            _directory.KnownEntries([], [_departed("a", 0)])
        )
        self.directory.apply(_item("a", 5))
        self.assertEqual(self._names(), {"a"})

    # Guards against a copy of the store that makes nodes forget a departure.
    def test_departure_outlasts_the_record_of_a_former_era(self) -> None:
        self._restart_in_new_era([_item("b", 3)])
        self.assertEqual(self._names(), {"b"})
        self.assertEqual([each.id for each in self.unrecorded], ["a"])
        (departed,) = self.unrecorded
        self.assertTrue(self.directory.needs_record(departed))
        self.directory.apply(
            _departed("a", 1)._replace(position=store.Position(2, 6))
        )
        self.assertFalse(self.directory.needs_record(departed))

    def _restart_in_new_era(self, items: list[store.Item]) -> None:
        """Lists a copy of the store in which "b" is and "a" has not left."""
        self.store.items = [_item("b", 3)]
        self.store.as_of = 9
        self._start()
        self.directory.apply(
            _departed("a", 1)._replace(position=store.Position(1, 11))
        )
        self.assertEqual(self.unrecorded, [])
        self.store.era = 2
        self.store.as_of = 5
        self.store.items = items
        self.directory._restart()
        gevent.sleep(0.01)

    # Guards against a copy of the store that brings back an upstream which has
    # left.
    def test_departure_outweighs_an_entry_of_the_copy(self) -> None:
        self._restart_in_new_era([_item("b", 3), _item("a", 4)])
        self.assertEqual(self._names(), {"b"})
        self.assertEqual([each.id for each in self.unrecorded], ["a"])

    # Guards against an entry that is ignored for good, since its revision is
    # lower than the one that it had in a former era.
    def test_entry_of_a_new_era_replaces_one_with_a_higher_revision(
        self,
    ) -> None:
        for is_lapsed in (False, True):
            with self.subTest(is_lapsed=is_lapsed):
                self.setUp()
                self.store.items = [_item("a", 10)]
                self.store.as_of = 10
                self._start()
                self._begin_era([] if is_lapsed else [_item("a", 3)], 4)
                # In use for as long as its node needs to write it again.
                self.assertEqual(self._names(), {"a"})
                (entry,) = self.directory.entries_by_zone("s").own_zone
                self.assertTrue(self.directory.is_usable(entry))
                changed = _item("a", 6, "10.0.9.9")
                self.directory.apply(
                    changed._replace(position=store.Position(2, 6))
                )
                self.time_s += 2 * _directory.LAPSE_GRACE_S
                self.directory.remove_lapsed()
                (entry,) = self.directory.entries_by_zone("s").own_zone
                self.assertEqual(entry.upstream.host, "10.0.9.9")
                self.assertIsNone(entry.lapsed_at)

    def _begin_era(self, items: list[store.Item], as_of: int) -> None:
        """Lists a copy of the store."""
        self.store.era += 1
        self.store.items = items
        self.store.as_of = as_of
        self.directory._restart()
        gevent.sleep(0.01)

    # Guards against the record of a former upstream that is written again after
    # the next one was announced, and that removes it from the directories.
    def test_late_record_does_not_remove_the_next_upstream_of_a_node(
        self,
    ) -> None:
        self._start()
        self.directory.apply(_item("b", 20, "10.0.1.1"))
        upstream = _directory.decode_entry(
            _directory.PREFIX + "a", _item("a", 0, "10.0.1.1").value or b""
        )
        assert upstream is not None
        gone = upstream._replace(state=_model.UpstreamState.GONE)
        record = _directory.encode_entry(gone)
        self.directory.apply(
            store.Item(_directory.PREFIX + "a", record, _at(21))
        )
        self.assertEqual(self._names(), {"b"})

    # Guards against a copy that brings back the former upstream of a node and
    # removes the one that is there.
    def test_predecessor_in_a_copy_does_not_replace_the_upstream(self) -> None:
        self.store.items = [_item("b", 10, "10.0.1.1")]
        self.store.as_of = 10
        self._start()
        self._begin_era([_item("a", 3, "10.0.1.1")], 4)
        self.assertIn("b", self._names())
        self.directory.apply(
            _item("b", 6, "10.0.1.1")._replace(position=store.Position(2, 6))
        )
        self.assertEqual(self._names(), {"b"})

    # Guards against a copy that brings back the former incarnation of an id,
    # and against one that is ignored for good if it is in use after all.
    def test_incarnation_in_a_copy_does_not_replace_the_later_one(self) -> None:
        later = _item("a", 10)
        upstream = _directory.decode_entry(later.key, later.value or b"")
        assert upstream is not None
        value = _directory.encode_entry(
            upstream._replace(start_time_ms=9, slots=7)
        )
        self.store.items = [later._replace(value=value)]
        self.store.as_of = 10
        self._start()
        self._begin_era([_item("a", 3)], 4)
        (entry,) = self.directory.entries_by_zone("s").own_zone
        self.assertEqual(entry.upstream.slots, 7)
        self.assertTrue(self.directory.is_usable(entry))
        self.time_s += _directory.LAPSE_GRACE_S
        self.directory._look()
        (entry,) = self.directory.entries_by_zone("s").own_zone
        self.assertEqual(entry.upstream.slots, 10)
        self.assertIsNone(entry.lapsed_at)

    # Guards against a node that does not notice a drill, and against a peer
    # whose word of an era is taken as final.
    def test_later_era_that_a_peer_tells_is_checked_at_the_store(self) -> None:
        self.store.as_of = 7
        self._start()
        for _ in range(3):
            self.directory.record_peer_position(_at(3, era=2))
        self.assertEqual(self.store.era_checks, 1)
        self.time_s += _directory.MIN_RESTART_INTERVAL_S
        self.directory.record_peer_position(_at(3, era=2))
        self.assertEqual(self.store.era_checks, 2)
        self._merge(
            _item("a", 1)._replace(position=_at(4, era=9)),
        )
        self.assertEqual(self._names(), {"a"})
        self.assertEqual(self.directory.position.era, 1)
        self.directory.apply(_item("a", 8, "10.0.9.9"))
        (entry,) = self.directory.entries_by_zone("s").own_zone
        self.assertEqual(entry.upstream.host, "10.0.9.9")

    # Guards against nodes that take a revision of an older version, which does
    # not tell the era, for a later or an earlier one.
    def test_position_without_an_era_says_nothing(self) -> None:
        self.store.as_of = 7
        self._start()
        for _ in range(4):
            self.time_s += _directory.MAX_LAG_S
            told = self.directory.record_peer_position(_at(99, era=0))
            self.assertFalse(told)
        self._merge(_item("a", 1)._replace(position=_at(99, era=0)))
        self.assertEqual(self._names(), set())
        self.assertEqual(self.store.list_calls, 1)
        self.assertEqual(self.store.era_checks, 0)

    # Guards against the record of an earlier incarnation, which would keep the
    # later one out.
    def test_departure_before_a_known_incarnation_needs_no_record(self) -> None:
        self.store.as_of = 9
        self._start()
        self.directory.merge_from_peer(
            _directory.KnownEntries([], [_departed("a", 0)])
        )
        self.directory.apply(_item("a", 10))
        self.store.era = 2
        self.directory._restart()
        gevent.sleep(0.01)
        self.assertEqual(self.unrecorded, [])

    # Guards against two processes that confirm each other's ignorance.
    def test_only_an_informed_node_informs_others(self) -> None:
        self.assertIsNone(self.directory.entries(store.NO_POSITION))
        known = _directory.KnownEntries([_item("b", 5)], [_departed("a", 1)])
        self.directory.merge_from_peer(known)
        self.assertEqual(self._names(), {"b"})
        # The store may have turned away that peer too.
        self.assertFalse(self.directory.informed.is_set())
        self.assertIsNone(self.directory.entries(store.NO_POSITION))
        self.directory.merge_from_peer(known._replace(is_current=True))
        self.assertTrue(self.directory.informed.is_set())
        told = self.directory.entries(store.NO_POSITION)
        assert told is not None
        self.assertEqual(len(told.ready), 1)
        self.assertEqual(len(told.departed), 1)

    # Guards against a node that passes on what it knew when its watch was last
    # answered as all that the store has.
    def test_node_catches_up_with_the_store_for_a_peer(self) -> None:
        self.assertFalse(self.directory.catch_up())
        self.store.items = [_item("b", 5)]
        self.store.as_of = 9
        self._start()
        self.assertTrue(self.directory.catch_up())
        gone = _departed("a", 1)._replace(position=store.Position(1, 11))
        self.store.items.append(gone)
        self.assertTrue(self.directory.catch_up())
        known = self.directory.entries(store.NO_POSITION)
        assert known is not None
        self.assertEqual([each.key for each in known.departed], [gone.key])
        self.store.unavailable = True
        self.assertFalse(self.directory.catch_up())

    def test_start_without_the_store_requests_entries_from_a_peer(self) -> None:
        self.store.unavailable = True
        self._start()
        self.assertTrue(self.directory.lacks_entries)
        self.assertEqual(self.requests_to_peers, 1)
        self._merge(_item("a", 5))
        self.assertFalse(self.directory.lacks_entries)
        self.assertEqual(self._names(), {"a"})
