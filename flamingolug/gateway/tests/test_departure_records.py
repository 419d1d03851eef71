"""Records of departures that one node writes for another.

Pattern: quorum of one. A record counts once any node has it in the store.
"""

import random
import types
import unittest
from collections.abc import Sequence
from typing import Any
from typing import cast
from unittest import mock

import gevent

from flamingolug import errors
from flamingolug import store
from flamingolug import timing
from flamingolug.gateway import _departure_records
from flamingolug.gateway import _directory
from flamingolug.gateway import _frames
from flamingolug.gateway import _model

_READY = _model.Upstream(
    "u1", "s", "z", "127.0.0.9", 9, 1, _model.UpstreamState.READY, 5, 1
)
_GONE = _READY._replace(state=_model.UpstreamState.GONE)


class _Store:
    """A store with one key."""

    def __init__(self, stored: _model.Upstream | None) -> None:
        self.stored = stored
        self.revision = 3 if stored else 0
        self.granted = 0
        #: Errors of the next writes.
        self.failures: list[errors.StoreError] = []

    def grant_lease(self, ttl_s: float) -> store.Lease:
        """Returns a lease."""
        del ttl_s
        self.granted += 1
        return store.Lease(1, self.granted)

    def read(self, key: str) -> store.Page:
        """Returns the entry."""
        if self.stored is None:
            return store.Page([], store.Position(1, 9))
        value = _directory.encode_entry(self.stored)
        item = store.Item(key, value, store.Position(1, self.revision))
        return store.Page([item], store.Position(1, 9))

    def write(
        self,
        key: str,
        value: bytes,
        expected: store.Position,
        lease: store.Lease,
        deletes: Sequence[str] = (),
    ) -> store.Position:
        """Writes the entry, or fails as the test says."""
        del lease, deletes
        if self.failures:
            raise self.failures.pop(0)
        assert expected.revision == self.revision
        self.stored = _directory.decode_entry(key, value)
        return store.Position(1, 10)


class _Links:
    """Links that record whom a request was sent to."""

    def __init__(self) -> None:
        self.live = {("h", 7)}
        self.asked: list[tuple[str, int]] = []

    def is_live(self, address: tuple[str, int]) -> bool:
        """Returns whether a link is open."""
        return address in self.live

    def link_to(self, address: tuple[str, int], wait_s: float) -> Any:
        """Returns a link whose frames are recorded."""
        del wait_s
        if address == ("h", 8):
            raise errors.PeerUnreachableError("t", step="t", peer="t")
        return types.SimpleNamespace(
            send=lambda frame: self.asked.append(address)
        )


class RecordTest(unittest.TestCase):
    def make_records(
        self, kv: _Store, links: _Links | None = None
    ) -> _departure_records.DepartureRecords:
        counters = types.SimpleNamespace(add=lambda *args: None)
        return _departure_records.DepartureRecords(
            _departure_records.Dependencies(
                cast(store.LeasedStore, kv),
                timing.ManualTimers(),
                random.Random(1),
                cast(Any, links),
                cast(Any, types.SimpleNamespace(counters=counters)),
                lambda departed: None,
                lambda: [("h", port) for port in range(10)],
                1.0,
            )
        )

    def request(self, kv: _Store, upstream: _model.Upstream) -> bool:
        """Returns whether a request to record a departure is confirmed."""
        confirmed: list[bool] = []
        self.make_records(kv).handle_frame(
            _frames.DepartureFrame(
                1,
                _directory.PREFIX + upstream.id,
                _directory.encode_entry(upstream),
            ),
            lambda: confirmed.append(True),
        )
        gevent.sleep(0.01)
        return bool(confirmed)

    def test_departure_replaces_the_ready_entry_or_none(self) -> None:
        for stored in (_READY, None):
            with self.subTest(stored):
                kv = _Store(stored)
                self.assertTrue(self.request(kv, _GONE))
                self.assertEqual(kv.stored, _GONE)

    # Guards against a record that replaces the entry of an upstream that was
    # started again under its id.
    # Guards against a departure that only its own node knows, which then ends.
    def test_few_nodes_are_told_of_a_departure(self) -> None:
        links = _Links()
        self.make_records(_Store(None), links).tell_peers(_GONE)
        gevent.sleep(0.01)
        self.assertEqual(len(links.asked), _departure_records.NODES_TOLD)
        self.assertIn(("h", 7), links.asked)

    def test_later_incarnation_is_not_replaced(self) -> None:
        later = _READY._replace(start_time_ms=6)
        kv = _Store(later)
        self.assertTrue(self.request(kv, _GONE))
        self.assertEqual(kv.stored, later)

    # Guards against a confirmation without a record.
    def test_failed_write_is_not_confirmed(self) -> None:
        lost = errors.StoreUnavailableError("t", step="t", peer="t")
        kv = _Store(_READY)
        kv.failures = [lost]
        self.assertFalse(self.request(kv, _GONE))
        self.assertEqual(kv.stored, _READY)

    def test_changed_key_and_ended_lease_are_tried_again(self) -> None:
        for failure in (errors.StoreConflictError, errors.LeaseLostError):
            with self.subTest(failure):
                kv = _Store(_READY)
                kv.failures = [failure("t", step="t", peer="t")]
                self.assertTrue(self.request(kv, _GONE))
                self.assertEqual(kv.stored, _GONE)

    # Guards against a node that lets peers announce an upstream.
    def test_only_departures_are_written_for_peers(self) -> None:
        kv = _Store(None)
        self.assertFalse(self.request(kv, _READY))
        self.assertIsNone(kv.stored)

    # Guards against a frame of another form that ends a link, or is recorded.
    def test_odd_departure_has_no_effect(self) -> None:
        valid = _directory.encode_entry(_GONE)
        odd = {
            "other key": ("k", valid),
            "no entry": (_directory.PREFIX + "u1", b""),
            "nested deeply": (_directory.PREFIX + "u1", b"[" * 100_000),
            "port too large": (
                _directory.PREFIX + "u1",
                valid.replace(b",9,", b",99999,"),
            ),
        }
        for name, (key, value) in odd.items():
            with self.subTest(name):
                kv = _Store(_READY)
                confirm = mock.Mock()
                self.make_records(kv).handle_frame(
                    _frames.DepartureFrame(1, key, value), confirm
                )
                gevent.sleep(0.01)
                self.assertEqual(kv.stored, _READY)
                confirm.assert_not_called()

    # Guards against a request to all nodes of a fleet, and against one that
    # ends at the first nodes, which the store may turn away as well.
    def test_few_nodes_are_asked_at_once_and_linked_ones_first(self) -> None:
        links = _Links()
        records = self.make_records(_Store(None), links)
        confirmed = records.ask_peers(_GONE, 1.0)
        gevent.sleep(0.01)
        self.assertEqual(links.asked[0], ("h", 7))
        self.assertLessEqual(
            len(links.asked), _departure_records.NODES_PER_ROUND
        )
        gevent.sleep(_departure_records.ROUND_INTERVAL_S * 5)
        self.assertEqual(
            sorted(links.asked), [("h", n) for n in range(10) if n != 8]
        )
        self.assertFalse(confirmed.is_set())
        records.handle_recorded(1)
        self.assertTrue(confirmed.is_set())
