"""Departures of upstreams that a node acknowledges, across its restart."""

import functools
import itertools
import time
import unittest
from collections.abc import Callable

import gevent

from flamingolug.gateway import _link
from flamingolug.platform.tests import deployment
from flamingolug.platform.tests import processes
from flamingolug_standins import documents

_ROUTES = [documents.make_route("read", "front")]
#: Seconds from SIGTERM on for which a node process accepts connections, longer
#: than it takes to answer a notice that can't be written.
_ACCEPT_S = 1.0


class DepartureTest(unittest.TestCase):
    """A report that is late arrives at the next process of the node."""

    def setUp(self) -> None:
        self.deployment = deployment.Deployment(("shelf",), _ROUTES)
        self.addCleanup(self.deployment.stop)
        self.front = processes.NodeProcess("front", self.deployment, _ACCEPT_S)
        self.addCleanup(self.front.close)

    def make_late_report(self) -> bytes:
        """Returns the body of a ready report that is sent but not delivered."""
        server = self.front.server
        server.sequence += 1
        return server.make_report("ready")

    def restart(self) -> None:
        self.front.wait()
        self.front.start()

    def assert_late_report_has_no_effect(self, report: bytes) -> None:
        self.front.server.post("heartbeat", report)
        # The entry would be in the store, and calls would be accepted.
        gevent.sleep(0.5)
        executed = len(self.front.server.executed_ids)
        deadline_ms = 500
        for number in range(3):
            processes.ask_once(
                self.front.outbound, b"/read/x", f"late{number}", deadline_ms
            )
        self.assertEqual(self.front.server.executed_ids[executed:], [])

    # Guards against a leave notice that a stopping node acknowledges and does
    # not write to the store.
    def test_leave_acknowledged_by_a_stopping_node_outlasts_its_restart(
        self,
    ) -> None:
        report = self.make_late_report()
        self.front.stop()
        gevent.sleep(0.1)
        self.assertEqual(self.front.server.deregister(), 200)
        self.restart()
        self.assert_late_report_has_no_effect(report)

    # Guards against a drain that a stopping node acknowledges and does not
    # write to the store.
    def test_drain_acknowledged_by_a_stopping_node_outlasts_its_restart(
        self,
    ) -> None:
        report = self.make_late_report()
        self.front.stop()
        gevent.sleep(0.1)
        self.assertEqual(self.front.server.report("draining"), 200)
        self.restart()
        self.assert_late_report_has_no_effect(report)

    # Guards against a stop that removes the record of an earlier drain.
    def test_drain_before_the_stop_outlasts_the_restart(self) -> None:
        report = self.make_late_report()
        self.assertEqual(self.front.server.report("draining"), 200)
        self.front.stop()
        self.restart()
        self.assert_late_report_has_no_effect(report)

    # Guards against a leave notice without an earlier report at the process,
    # which is acknowledged and not written.
    def test_leave_without_a_report_outlasts_a_kill(self) -> None:
        report = self.make_late_report()
        self.front.stop()
        self.restart()
        self.assertEqual(self.front.server.deregister(), 200)
        self.front.kill()
        self.front.start()
        self.assert_late_report_has_no_effect(report)

    # Guards against a departure that a running node acknowledges though it is
    # known in its memory only, and that its kill forgets.
    def test_departure_outlasts_a_kill_while_the_store_turns_the_node_away(
        self,
    ) -> None:
        kv = self.deployment.store
        (other,) = self.deployment.instances
        leave = self.front.server.deregister
        drain = functools.partial(self.front.server.report, "draining")
        departures: tuple[Callable[[], int], ...] = (leave, drain)
        # The store answers 503 to this node, or nothing, and serves the other.
        cases = itertools.product(departures, (kv.turned_away, kv.silent_at))
        for number, (depart, disturbed) in enumerate(cases):
            with self.subTest(number=number):
                report = self.make_late_report()
                # A node whose server does not report is not in the directory.
                other.server.report()
                disturbed.add(self.front.store_address)
                self.assertEqual(depart(), 200)
                self.front.kill()
                disturbed.clear()
                self.front.start()
                self.assert_late_report_has_no_effect(report)
                self.front.server.start_time_ms += 1
                self.assertEqual(self.front.server.report("ready"), 200)

    # Guards against an acknowledgement without a record, while the store
    # answers no node.
    def test_departure_without_a_record_is_not_acknowledged(self) -> None:
        report = self.make_late_report()
        for silent in (False, True):
            self.deployment.store.down = not silent
            self.deployment.store.silent = silent
            self.assertEqual(self.front.server.deregister(), 503)
            # Unacknowledged, it is in force at the node that knows of it.
            self.assertNotEqual(
                processes.ask_once(self.front.outbound, b"/read/x", "x"), 200
            )
        self.deployment.store.silent = False
        deployment.wait_until(
            lambda: self.front.server.deregister() == 200,
            "the leave is acknowledged once the store answers",
        )
        self.front.kill()
        self.front.start()
        self.assert_late_report_has_no_effect(report)

    # Guards against a process that accepts a late report while it can't read
    # the store, and then replaces the record of the departure.
    def test_late_report_is_not_accepted_before_the_store_was_read(
        self,
    ) -> None:
        report = self.make_late_report()
        self.assertEqual(self.front.server.deregister(), 200)
        record = self.front.stored_entry()
        self.front.kill()
        self.deployment.store.turned_away.add(self.front.store_address)
        self.front.start_without_configuration()
        self.assertEqual(self.front.server.post("heartbeat", report), 503)
        self.deployment.store.turned_away.clear()
        self.front.wait_ready()
        self.assert_late_report_has_no_effect(report)
        self.assertEqual(self.front.stored_entry(), record)

    # Guards against a process that takes what a peer knows of an upstream for
    # all that is known, or does not take it while the store is away.
    def test_peer_tells_a_process_without_the_store_who_has_left(self) -> None:
        routes = [*_ROUTES, documents.make_route("lend", "shelf")]
        nodes = deployment.Deployment(("shelf",), routes)
        self.addCleanup(nodes.stop)
        (shelf,) = nodes.instances
        for leaves in (False, True):
            with self.subTest(leaves=leaves):
                front = processes.NodeProcess("front", nodes)
                self.addCleanup(front.close)
                deployment.wait_until(
                    lambda: (
                        deployment.send_request(shelf, "read", "link").status
                        == 200
                    ),
                    "the peer has a link",
                )
                front.server.sequence += 1
                report = front.server.make_report("ready")
                if leaves:
                    self.assertEqual(front.server.deregister(), 200)
                nodes.store.down = True
                front.kill()
                front.start_without_configuration()
                self.assertEqual(front.server.post("heartbeat", report), 503)
                connection = _link.Links(
                    shelf.node.parts.get(
                        "gateway.link-needs", _link.Dependencies
                    )
                )
                connection.link_to(front.link, 1.0)
                front.wait_ready()
                gevent.sleep(0.1)
                self.assertEqual(front.server.post("heartbeat", report), 200)
                status = processes.ask_once(
                    front.outbound, b"/read/x", f"own-{leaves}", 500
                )
                self.assertEqual(status, 503 if leaves else 200)
                connection.stop()
                nodes.store.down = False
                front.kill()

    # Guards against a report that waits for the entries, and is accepted after
    # the leave notice that came behind it. The clock has been set back since
    # the start of the server, so the notice seems to come before that.
    def test_leave_ends_a_report_that_waits_for_the_entries(self) -> None:
        front, kv = self.front, self.deployment.store
        front.kill()
        front.server.start_time_ms += 60_000
        kv.turned_away.add(front.store_address)
        front.start_without_configuration()
        self.assertEqual(front.server.report("ready"), 503)
        front.server.deregister()
        kv.turned_away.clear()
        front.wait_ready()
        deployment.wait_until(
            lambda: front.server.deregister() == 200, "acknowledged"
        )
        # Behind the interval in which the report may still be accepted.
        gevent.sleep(2.0)
        self.assertEqual(
            processes.ask_once(front.outbound, b"/read/x", "late", 500), 503
        )

    # Guards against a process that takes itself for informed by one peer, which
    # the store has turned away since before the departure.
    def test_process_does_not_rely_on_a_peer_that_the_store_turns_away(
        self,
    ) -> None:
        services = ("shelf", "desk", "bank")
        routes = [documents.make_route(each, each) for each in services]
        nodes = deployment.Deployment(services, [*_ROUTES, *routes])
        self.addCleanup(nodes.stop)
        # A node that starts opens links to two nodes, of its own zone if
        # possible, so the other node has no link to this one.
        front = processes.NodeProcess("front", nodes, zone="z2")
        self.addCleanup(front.close)
        other = processes.NodeProcess("post", nodes, route="shelf")
        self.addCleanup(other.close)
        # The notice of the departure goes to three nodes, linked ones first.
        for service in services:
            target = f"/{service}/x".encode()
            status = processes.ask_once(front.outbound, target, service)
            self.assertEqual(status, 200)
        kv = nodes.store
        kv.turned_away |= {front.store_address, other.store_address}
        # The store ends the watches that wait.
        gevent.sleep(1.0)
        front.server.sequence += 1
        report = front.server.make_report("ready")
        for instance in nodes.instances:
            instance.server.report()
        self.assertEqual(front.server.deregister(), 200)
        front.kill()
        front.start_without_configuration()
        # The other node opens a link, since it takes the upstream for ready.
        processes.ask_once(other.outbound, b"/read/x", "link", 500)
        front.wait_ready()
        executed = len(front.server.executed_ids)
        for number in range(4):
            front.server.post("heartbeat", report)
            processes.ask_once(
                front.outbound, b"/read/x", f"late-{number}", 500
            )
        self.assertEqual(front.server.executed_ids[executed:], [])

    # Guards against an acknowledgement that the next process can't know of.
    def test_stopping_node_does_not_acknowledge_what_it_can_not_write(
        self,
    ) -> None:
        self.deployment.store.down = True
        self.front.stop()
        gevent.sleep(0.1)
        for _ in range(2):
            self.assertEqual(self.front.server.deregister(), 503)
        self.deployment.store.down = False
        deployment.wait_until(
            lambda: self.front.server.deregister() == 200,
            "the leave is acknowledged once the store answers",
        )
        self.front.wait()

    # Guards against a stop that ends before an acknowledged departure is in
    # the store.
    def test_stop_waits_for_a_departure_that_is_not_yet_written(self) -> None:
        report = self.make_late_report()
        self.deployment.store.down = True
        self.assertEqual(self.front.server.deregister(), 503)
        self.front.stop()
        gevent.sleep(_ACCEPT_S + 0.5)
        self.deployment.store.down = False
        began_at = time.monotonic()
        self.restart()
        self.assertLess(time.monotonic() - began_at, processes.GRACE_S)
        self.assert_late_report_has_no_effect(report)
