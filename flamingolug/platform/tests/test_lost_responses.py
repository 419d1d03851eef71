"""Changes that a node learns of although a response of the store was lost."""

import time
import unittest

import gevent

from flamingolug import errors
from flamingolug import store
from flamingolug.gateway import _announcer
from flamingolug.gateway import _directory
from flamingolug.gateway import _model
from flamingolug.platform import _store
from flamingolug.platform.tests import deployment
from flamingolug.platform.tests import processes
from flamingolug_standins import documents
from flamingolug_standins import leased_store

#: Seconds after a disturbance of the store from which on a node has to act by
#: the configuration that is in the store (`TouchMs` of the settings, which the
#: node processes of these tests leave at its default).
_TOUCH_S = 3.0


class ConfigurationTest(processes.ConfigurationTestCase):
    """The watch of a node process, and a store that loses its responses."""

    # Guards against a watch that waits on a connection that returns nothing.
    def test_version_is_applied_after_the_response_to_the_watch_was_lost(
        self,
    ) -> None:
        self.lose_change(4, "fresh")
        self.assert_served_within("fresh", _TOUCH_S)

    def lose_change(self, version: int, route: str) -> None:
        """Writes a version; the responses to the watches of it are lost."""
        kv = self.deployment.store
        lost_before = kv.lost_responses
        kv.lose_watches = True
        self.put(version, route)
        # Both nodes watch the configuration.
        deployment.wait_until(
            lambda: kv.lost_responses >= lost_before + 2, "responses lost"
        )
        kv.lose_watches = False

    # Guards against the first requests after a pause, which are handled by the
    # old version although they start the check that finds the new one.
    def test_first_requests_after_a_pause_use_the_new_version(self) -> None:
        self.lose_change(4, "fresh")
        gevent.sleep(_TOUCH_S)
        # Reports come in time, so calls to the server would be accepted.
        self.front.server.report()
        gevent.sleep(1.0)
        calls = {
            (route, number): gevent.spawn(
                processes.ask_once,
                self.front.outbound,
                f"/{route}/x".encode(),
                f"{route}-{number}",
            )
            for route in ("read", "fresh")
            for number in range(4)
        }
        gevent.joinall(list(calls.values()))
        for (route, number), call in calls.items():
            with self.subTest(route, number=number):
                self.assertEqual(call.value, 200 if route == "fresh" else 404)

    # Guards against checks from a revision whose history the store has dropped,
    # which find nothing until the watch ends by its own time-out.
    def test_version_is_applied_if_the_history_of_the_check_is_lost(
        self,
    ) -> None:
        kv = self.deployment.store
        kv.lose_watches = True
        kv.put("op/notes", b"x")
        kv.drop_history()
        # The configuration and the entries are watched by both nodes.
        deployment.wait_until(lambda: kv.lost_responses == 4, "responses lost")
        kv.lose_watches = False
        self.put(4, "fresh")
        self.assert_served_within("fresh", _TOUCH_S)

    # Guards against attempts that begin before the end of a silence, and wait
    # longer than the node has to catch up.
    def test_version_is_applied_after_the_store_was_silent(self) -> None:
        for silent_s in (0.6, 1.9):
            with self.subTest(silent_s=silent_s):
                version = 10 + int(silent_s * 10)
                self.deployment.store.silent = True
                self.put(version, f"within{version}")
                gevent.sleep(silent_s)
                self.deployment.store.silent = False
                self.put(version + 1, f"after{version}")
                self.assert_served_within(f"after{version}", _TOUCH_S)


class ClientTest(unittest.TestCase):
    def setUp(self) -> None:
        host = deployment.next_host()
        self.store = leased_store.LeasedStore(host, deployment._BASE_PORT + 26)
        self.addCleanup(self.store.stop)
        self.client = _store.PlatformStore(
            self.store.address, lambda name: None
        )

    # Guards against a watch that goes on waiting after a silence that other
    # calls have met.
    def test_unanswered_call_ends_the_watches_that_wait(self) -> None:
        watches = [
            gevent.spawn(
                self.client.watch, _directory.PREFIX, store.NO_POSITION, 20.0
            )
            for _ in range(2)
        ]
        gevent.sleep(0.1)
        self.store.silent = True
        with self.assertRaises(errors.StoreUnavailableError):
            self.client.grant_lease(8.0)
        self.store.silent = False
        gevent.joinall(watches, timeout=1.0)
        for watch in watches:
            self.assertIsInstance(watch.exception, errors.StoreUnavailableError)

    def test_refused_call_leaves_the_watches_that_wait(self) -> None:
        watch = gevent.spawn(
            self.client.watch, _directory.PREFIX, store.NO_POSITION, 1.0
        )
        gevent.sleep(0.1)
        self.store.down = True
        with self.assertRaises(errors.StoreUnavailableError):
            self.client.grant_lease(8.0)
        self.assertFalse(watch.ready())


class DirectoryTest(unittest.TestCase):
    """The watch of the entries; a node without links has no peer to ask."""

    # Guards against a watch of the entries that receives nothing for 30 s.
    def test_entry_is_found_after_the_response_to_the_watch_was_lost(
        self,
    ) -> None:
        routes = [documents.make_route("read", "shelf")]
        test_deployment = deployment.Deployment(("shelf",), routes)
        self.addCleanup(test_deployment.stop)
        shelf = test_deployment.instances[0]
        kv = test_deployment.store
        entry = _model.Upstream(
            "i-1",
            "front",
            "z1",
            "127.0.0.9",
            9,
            1,
            _model.UpstreamState.READY,
            1,
            1,
        )
        gevent.sleep(0.5)
        kv.lose_watches = True
        kv.put(_directory.PREFIX + entry.id, _directory.encode_entry(entry))
        deployment.wait_until(lambda: kv.lost_responses > 0, "response lost")
        kv.lose_watches = False
        deployment.send_request(shelf, "read", "in-use")
        began_at = time.monotonic()
        shelf.wait_for_upstreams(("front",))
        limit_s = _announcer.LEASE_TTL_S + _store.CALL_TIMEOUT_S + 1.0
        self.assertLess(time.monotonic() - began_at, limit_s)
