"""What a node believes of upstreams when its store or its watch is gone."""

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


def _item(name: str, revision: int, host: str = "") -> store.Item:
    host = host or f"h-{name}"
    upstream = _model.Upstream(
        name, "s", "z0", host, 1, 10, _model.UpstreamState.READY, 1, 1
    )
    return store.Item(
        _directory.PREFIX + name, _directory.encode_entry(upstream), revision
    )


class _Store:
    """A store whose watches never answer."""

    def __init__(self) -> None:
        self.items: list[store.Item] = []
        self.as_of = 0
        self.down = False
        self.lists = 0

    def list_prefix(self, prefix: str) -> store.Page:
        """Returns all entries, unless it is down."""
        del prefix
        self.lists += 1
        if self.down:
            raise errors.StoreUnavailableError("down", step="t", peer="t")
        return store.Page(list(self.items), self.as_of)

    def watch(self, prefix: str, after: int, wait_s: float) -> store.Page:
        """Waits for good."""
        del prefix, after, wait_s
        gevent.sleep(3600.0)
        raise AssertionError


class DirectoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.at = 100.0
        self.store = _Store()
        self.asked = 0
        timers: Any = types.SimpleNamespace(now=lambda: self.at)
        self.directory = _directory.Directory(
            _directory.Dependencies(
                "z0",
                random.Random(1),
                cast(store.LeasedStore, self.store),
                timers,
                lambda upstream: False,
                lambda key: None,
                self._ask,
            )
        )
        self.addCleanup(self.directory.stop)

    def _ask(self) -> None:
        self.asked += 1

    def _start(self) -> None:
        self.directory.start()
        gevent.sleep(0.01)

    def _names(self) -> set[str]:
        placement = self.directory.placement_of("s")
        return {known.upstream.id for known in placement.near}

    def test_a_silent_watch_is_noticed_by_what_peers_know(self) -> None:
        self.store.items = [_item("a", 5)]
        self.store.as_of = 7
        self._start()
        self.store.items.append(_item("b", 9))
        self.store.as_of = 9
        self.assertFalse(self.directory.record_peer_revision(9))
        self.at += _directory.BEHIND_S
        # Another peer may be behind too.
        self.assertFalse(self.directory.record_peer_revision(7))
        self.assertTrue(self.directory.record_peer_revision(9))
        gevent.sleep(0.01)
        self.assertEqual(self._names(), {"a", "b"})

    def test_who_is_not_behind_keeps_its_watch(self) -> None:
        self.store.items = [_item("a", 5)]
        self.store.as_of = 7
        self._start()
        for revision in (0, 5, 7):
            for _ in range(4):
                self.at += _directory.BEHIND_S
                self.assertFalse(self.directory.record_peer_revision(revision))
        self.assertEqual(self.store.lists, 1)

    def test_a_change_that_arrives_ends_the_count(self) -> None:
        self._start()
        self.directory.record_peer_revision(9)
        self.directory.merge_from_peer([_item("a", 9)])
        self.at += _directory.BEHIND_S
        self.assertFalse(self.directory.record_peer_revision(10))

    def test_a_node_that_stays_behind_does_not_press_the_store(self) -> None:
        self._start()
        self.store.down = True
        wanted = 0
        for _ in range(200):
            self.at += 0.1
            wanted += self.directory.record_peer_revision(9)
            gevent.sleep(0)
        self.assertEqual(self.store.lists, 2)
        self.assertLessEqual(wanted, 4)

    def test_entries_of_a_peer_count_where_they_are_later(self) -> None:
        self.store.items = [_item("a", 5), _item("gone", 6)]
        self.store.as_of = 8
        self._start()
        self.directory.merge_from_peer([_item("old", 7), _item("new", 9)])
        self.assertEqual(self._names(), {"a", "gone", "new"})
        self.assertEqual(self.directory.revision, 9)

    def test_an_entry_that_has_moved_stays_when_its_old_address_is_reused(
        self,
    ) -> None:
        for item in (
            _item("a", 1, "first"),
            _item("a", 2, "second"),
            _item("b", 3, "first"),
            _item("c", 4, "first"),
            _item("d", 5, "second"),
        ):
            self.directory.apply(item)
        self.assertEqual(self._names(), {"c", "d"})

    def test_a_moved_entry_is_found_at_its_new_address(self) -> None:
        for item in (
            _item("a", 1, "first"),
            _item("a", 2, "second"),
            _item("b", 3, "first"),
        ):
            self.directory.apply(item)
        self.assertEqual(self._names(), {"a", "b"})
        self.assertEqual(self.directory.node_count(), 2)

    def test_only_later_entries_are_told(self) -> None:
        self.store.items = [_item("a", 5), _item("b", 9)]
        self.store.as_of = 9
        self._start()
        told = [item.revision for item in self.directory.entries(5)]
        self.assertEqual(told, [9])

    def test_a_start_without_the_store_asks_a_peer(self) -> None:
        self.store.down = True
        self._start()
        self.assertTrue(self.directory.lacks_entries)
        self.assertEqual(self.asked, 1)
        self.directory.merge_from_peer([_item("a", 5)])
        self.assertFalse(self.directory.lacks_entries)
        self.assertEqual(self._names(), {"a"})
