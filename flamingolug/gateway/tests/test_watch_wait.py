"""How long a lost response of the store goes unnoticed, and what that costs.

Pattern: bounded long poll, shared by the nodes of a fleet. A watch whose
response was lost looks like one that nothing has answered yet.
"""

import unittest

from flamingolug.gateway import _announcer
from flamingolug.gateway import _backoff
from flamingolug.gateway import _watch_wait
from flamingolug.platform import _store


class WaitTest(unittest.TestCase):
    # Guards against a lost response that a node without links notices too late.
    def test_node_without_links_notices_a_lost_response_in_time(self) -> None:
        for detection_s in (3.0, 4.0, 10.0):
            for links in range(_watch_wait.MIN_LIVE_LINKS):
                with self.subTest(detection_s=detection_s, links=links):
                    wait_s = _watch_wait.configuration_wait_s(
                        detection_s, links, 730
                    )
                    noticed_s = (
                        wait_s
                        + _store.WATCH_MARGIN_S
                        + _backoff.INITIAL_WAIT_S * 1.5
                    )
                    scheduling_s = 0.25
                    self.assertLess(noticed_s + scheduling_s, detection_s)

    # Guards against entries that stay longer than those of a failed node.
    def test_node_without_links_notices_lost_entries(self) -> None:
        self.assertLessEqual(
            _watch_wait.entries_wait_s(0), _announcer.LEASE_TTL_S
        )

    def test_linked_nodes_check_as_often_as_four_without_links(self) -> None:
        """Checks of a fleet in a second; its rate must not follow its size."""
        for nodes, most_checks in ((4, 3.5), (17, 3.5), (74, 3.5)):
            with self.subTest(nodes=nodes):
                wait_s = _watch_wait.configuration_wait_s(3.0, 5, nodes)
                self.assertLess(nodes / wait_s, most_checks)

    def test_checks_of_a_larger_fleet_are_those_of_its_longest_wait(
        self,
    ) -> None:
        self.assertEqual(
            _watch_wait.configuration_wait_s(3.0, 5, 194),
            _watch_wait.LONGEST_WAIT_S,
        )

    def test_wait_stays_within_that_of_the_store(self) -> None:
        longest_s = 30.0
        for nodes in (1, 730, 10_000):
            wait_s = _watch_wait.configuration_wait_s(10.0, 9, nodes)
            self.assertLess(wait_s, longest_s)
        self.assertLess(_watch_wait.entries_wait_s(9), longest_s)
