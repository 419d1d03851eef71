"""Stores that return from an older copy, as in a drill.

Revisions and leases are then given out again, and what was acknowledged since
the copy is gone.
"""

import itertools
import time
import unittest

import gevent

from flamingolug import errors
from flamingolug import store
from flamingolug.gateway import _directory
from flamingolug.platform import _store
from flamingolug.platform.tests import deployment
from flamingolug.platform.tests import processes
from flamingolug_standins import documents
from flamingolug_standins import leased_store

#: Seconds of a disturbance of the store, `TouchMs`.
_TOUCH_S = 3.0
#: Seconds within which a configuration is in force, `ConfigApplyMs`.
_CONFIG_APPLY_S = 2.0
#: Seconds after the return of the store in which lapsed entries are back.
_ENTRIES_BACK_S = 2.0
#: Seconds for which the store is away in a drill.
_AWAY_S = 0.5


class ConfigurationTest(processes.ConfigurationTestCase):
    """The watch of the configuration by a node process."""

    # Guards against a watch from a revision that was given out again, which
    # waits for a later one while the version is never in force.
    def test_version_stored_right_after_a_drill_is_in_force(self) -> None:
        kv = self.deployment.store
        versions = itertools.count(4)
        # Twice, also without a sign of it on the connections of the watches.
        for is_away in (True, False, True):
            with self.subTest(is_away=is_away):
                copy = kv.copy()
                lost = next(versions)
                self.put(lost, f"lost{lost}")
                self.assert_served_within(f"lost{lost}", _TOUCH_S)
                if is_away:
                    kv.down = True
                    gevent.sleep(_AWAY_S)
                kv.restore(copy)
                kv.down = False
                later = next(versions)
                self.put(later, f"later{later}")
                self.assert_served_within(
                    f"later{later}", _TOUCH_S + _CONFIG_APPLY_S
                )

    # Guards against a process that starts after a drill and keeps to the
    # version of the copy, while the other nodes have a later one in force.
    def test_process_that_starts_after_a_drill_uses_the_latest_version(
        self,
    ) -> None:
        kv = self.deployment.store
        (shelf,) = self.deployment.instances
        copy = kv.copy()
        self.put(4, "fresh")
        deployment.wait_until(
            lambda: deployment.send_request(shelf, "fresh", "x").status != 404,
            "the other node has the version",
        )
        self.front.kill()
        # The operator writes again only later.
        kv.restore(copy)
        # A node whose server does not report is not in the directory.
        shelf.server.report()
        self.front.start()
        self.assert_served_within("fresh", _TOUCH_S)


class EntryTest(unittest.TestCase):
    """The entry of an upstream that the copy of the store does not have."""

    def setUp(self) -> None:
        routes = [
            documents.make_route("read", "front"),
            documents.make_route("added", "late"),
        ]
        self.deployment = deployment.Deployment(("front", "desk"), routes)
        self.addCleanup(self.deployment.stop)
        kv = self.deployment.store
        self.copy = kv.copy()
        for number in range(6):
            kv.put(f"op/notes{number}", b"")
        self.late = processes.NodeProcess("late", self.deployment)
        self.addCleanup(self.late.close)
        for instance in self.deployment.instances:
            instance.wait_for_upstreams(("late",))
        self.numbers = itertools.count()

    def statuses(self) -> set[int]:
        """Returns the statuses of requests for the upstream, of each node."""
        self.late.server.report()
        return {
            deployment.send_request(
                instance, "added", f"added-{next(self.numbers)}"
            ).status
            for instance in self.deployment.instances
        }

    # Guards against an entry that other nodes ignore for good, because its
    # revision is lower than the one that it had before.
    def test_upstream_that_joined_before_a_drill_is_used_after_it(self) -> None:
        kv = self.deployment.store
        for _ in range(2):
            self.late.kill()
            kv.down = True
            gevent.sleep(_AWAY_S)
            kv.restore(self.copy)
            kv.down = False
            # The other nodes read the entries without this one.
            gevent.sleep(1.5)
            self.late.start()
            self.late.server.report()
            deployment.wait_until(
                lambda: self.late.stored_entry() is not None, "announced"
            )
            gevent.sleep(2 * _directory.LAPSE_GRACE_S)
            self.assertEqual(self.statuses(), {200})

    # Guards against an upstream that counts as gone because the copy of the
    # store does not have its entry.
    def test_upstream_that_joined_before_a_drill_stays_in_use(self) -> None:
        kv = self.deployment.store
        for _ in range(2):
            kv.down = True
            gevent.sleep(_AWAY_S)
            kv.restore(self.copy)
            kv.down = False
            ends_at = time.monotonic() + 2 * _directory.LAPSE_GRACE_S
            while time.monotonic() < ends_at:
                self.assertEqual(self.statuses(), {200})
                gevent.sleep(0.1)


class ClientTest(unittest.TestCase):
    """What the client of the store still does with a former era."""

    def setUp(self) -> None:
        host = deployment.next_host()
        self.store = leased_store.LeasedStore(host, deployment._BASE_PORT + 26)
        self.addCleanup(self.store.stop)
        self.counted: list[str] = []
        self.client = _store.PlatformStore(
            self.store.address, lambda name: None, self.counted.append
        )
        self.copy = self.store.copy()
        self.store.put("k", b"1")
        self.lease = self.client.grant_lease(8.0)
        (self.item,) = self.client.read("k").items

    def transactions(self) -> int:
        return self.store.calls.get("/v1/kv-txn", 0)

    # Guards against a lease whose number belongs to another holder now.
    def test_lease_of_a_former_era_is_not_used(self) -> None:
        self.store.restore(self.copy)
        self.assertEqual(self.client.grant_lease(8.0).number, self.lease.number)
        with self.assertRaises(errors.LeaseLostError):
            self.client.write("k2", b"", store.NO_POSITION, self.lease)
        with self.assertRaises(errors.LeaseLostError):
            self.client.renew_lease(self.lease)
        self.assertEqual(self.transactions(), 0)
        self.assertNotIn(f"/v1/kv-keep/{self.lease.number}", self.store.calls)

    # Guards against a renewal or a write that meets the new era first and is
    # taken for one of the own lease.
    def test_answer_of_the_next_era_does_not_confirm_a_lease(self) -> None:
        for era in (2, 3):
            self.store.restore(self.copy)
            self.assertEqual(self.client.era, era - 1)
            other = self.store.grant_lease(8.0)
            self.assertEqual(other, self.lease.number)
            if era == 2:
                with self.assertRaises(errors.LeaseLostError):
                    self.client.renew_lease(self.lease)
            else:
                lease = store.Lease(2, self.lease.number)
                with self.assertRaises(errors.StoreUnavailableError):
                    self.client.write("k2", b"", store.NO_POSITION, lease)
            self.assertEqual(self.client.era, era)

    # Guards against a condition that holds for a value of the new era.
    def test_revision_of_a_former_era_is_no_condition(self) -> None:
        self.store.restore(self.copy)
        self.store.put("k", b"other")
        lease = self.client.grant_lease(8.0)
        with self.assertRaises(errors.StoreConflictError):
            self.client.write("k", b"2", self.item.position, lease)
        with self.assertRaises(errors.StoreConflictError):
            self.client.delete("k", self.item.position)
        self.assertEqual(self.transactions(), 0)
        self.assertEqual(self.store.get("k"), b"other")

    # Guards against watches that wait for a revision of a former era.
    def test_watches_end_when_any_call_meets_a_new_era(self) -> None:
        watches = [
            gevent.spawn(self.client.watch, prefix, self.item.position, 20.0)
            for prefix in ("k", "op/")
        ]
        gevent.sleep(0.1)
        self.store.restore(self.copy)
        # The revision that the watches know is given out again.
        self.store.put("x", b"")
        gevent.sleep(0.1)
        self.assertFalse(any(each.ready() for each in watches))
        self.client.grant_lease(8.0)
        gevent.joinall(watches, timeout=1.0)
        for watch in watches:
            self.assertIsInstance(watch.exception, errors.HistoryLostError)
        self.assertEqual(self.counted, ["begun"])

    # Guards against an answer that was on its way when the era ended.
    def test_late_answer_of_a_former_era_is_discarded(self) -> None:
        eras: list[int] = []
        self.client.on_new_era(eras.append)
        self.store.restore(self.copy)
        self.client.read("k")
        self.store.era = 1
        for _ in range(2):
            with self.assertRaises(errors.StoreUnavailableError):
                self.client.read("k")
        self.assertEqual(self.client.era, 2)
        self.assertEqual(eras, [2])
        self.assertEqual(self.counted, ["begun", "former", "former"])


class DepartureTest(unittest.TestCase):
    """Departures that a node acknowledged and that the store has lost."""

    def setUp(self) -> None:
        routes = [documents.make_route("read", "front")]
        self.deployment = deployment.Deployment(("shelf", "desk"), routes)
        self.addCleanup(self.deployment.stop)
        self.front = processes.NodeProcess("front", self.deployment)
        self.addCleanup(self.front.close)

    def leave(self, depart: str) -> bytes:
        """Has the server leave; returns a late report of it."""
        server = self.front.server
        server.sequence += 1
        report = server.make_report("ready")
        if depart == "draining":
            self.assertEqual(server.report("draining"), 200)
        else:
            self.assertEqual(server.deregister(), 200)
        return report

    def drill(self, copy: leased_store.Copy) -> None:
        kv = self.deployment.store
        kv.down = True
        gevent.sleep(_AWAY_S)
        kv.restore(copy)
        kv.down = False

    def assert_record_within(self, limit_s: float) -> None:
        began_at = time.monotonic()
        deployment.wait_until(self.is_recorded, "the record is written again")
        self.assertLess(time.monotonic() - began_at, limit_s)

    def is_recorded(self) -> bool:
        entry = self.front.stored_entry()
        return entry is not None and entry.state != "ready"

    def assert_late_report_has_no_effect(self, report: bytes) -> None:
        """Asserts that nothing runs once the node is in touch."""
        self.front.server.post("heartbeat", report)
        gevent.sleep(_TOUCH_S)
        executed = len(self.front.server.executed_ids)
        for number in range(3):
            processes.ask_once(
                self.front.outbound, b"/read/x", f"late{number}", 500
            )
        self.assertEqual(self.front.server.executed_ids[executed:], [])

    # Guards against a node that takes the record for written, ends, and whose
    # next process believes the entry of the copy.
    def test_departure_outlasts_a_drill_and_a_planned_restart(self) -> None:
        for depart in ("draining", "gone"):
            with self.subTest(depart):
                copy = self.deployment.store.copy()
                report = self.leave(depart)
                self.drill(copy)
                self.assert_record_within(_ENTRIES_BACK_S)
                self.drill(copy)
                self.front.stop()
                self.front.wait()
                self.front.start()
                self.assert_late_report_has_no_effect(report)
                self.assertTrue(self.is_recorded())
                self.front.server.start_time_ms += 1
                self.front.server.state = "ready"
                self.front.server.sequence = 0
                self.assertEqual(self.front.server.report(), 200)
                deployment.wait_until(
                    lambda: not self.is_recorded(), "the next one is announced"
                )

    # Guards against a record that no node writes again, since the one that
    # acknowledged the departure has ended.
    def test_departure_is_recorded_again_by_the_nodes_that_remain(
        self,
    ) -> None:
        copy = self.deployment.store.copy()
        report = self.leave("gone")
        self.front.kill()
        # A node whose server does not report is not in the directory.
        for instance in self.deployment.instances:
            instance.server.report()
        for _ in range(2):
            self.drill(copy)
            self.assert_record_within(_ENTRIES_BACK_S)
        self.front.start()
        self.assert_late_report_has_no_effect(report)

    # Guards against a process that starts before the record is written again
    # and keeps to the entry of the copy.
    def test_departure_is_known_to_a_process_that_starts_in_a_drill(
        self,
    ) -> None:
        copy = self.deployment.store.copy()
        report = self.leave("gone")
        self.front.kill()
        self.deployment.store.down = True
        self.front.start_without_configuration()
        gevent.sleep(_AWAY_S)
        self.deployment.store.restore(copy)
        self.deployment.store.down = False
        self.front.wait_ready()
        self.assert_late_report_has_no_effect(report)

    # Guards against a planned stop that ends in the drill, before the record
    # is written again.
    def test_departure_outlasts_a_drill_during_the_planned_stop(self) -> None:
        copy = self.deployment.store.copy()
        report = self.leave("gone")
        self.front.stop()
        self.drill(copy)
        self.front.wait()
        self.assert_record_within(_ENTRIES_BACK_S)
        self.front.start()
        self.assert_late_report_has_no_effect(report)

    # Guards against an acknowledgement whose record was written just before the
    # copy was put in its place.
    def test_departure_outlasts_a_drill_during_its_acknowledgement(
        self,
    ) -> None:
        kv = self.deployment.store
        copy = kv.copy()
        server = self.front.server
        server.sequence += 1
        report = server.make_report("ready")
        # The record is written, and its writer gets no answer.
        kv.lose_transactions = True
        notice = gevent.spawn(server.deregister)
        deployment.wait_until(self.is_recorded, "the record is written")
        kv.restore(copy)
        kv.lose_transactions = False
        notice.join()
        deployment.wait_until(
            lambda: server.deregister() == 200, "the leave is acknowledged"
        )
        self.assert_record_within(_ENTRIES_BACK_S)
        self.front.kill()
        self.front.start()
        self.assert_late_report_has_no_effect(report)
