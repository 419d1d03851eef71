"""How long a lost change of the configuration goes unnoticed, and the cost.

Pattern: bounded long poll, shared by the nodes of a fleet. A watch whose
response was lost looks like one that nothing has answered yet.
"""

import unittest

from flamingolug.gateway import _configuration_watcher
from flamingolug.gateway import _watch_checks

#: Longest time of a call to a store that is slower than normal by a factor of
#: 60, seconds.
_SLOW_CALL_S = 0.3


class IntervalTest(unittest.TestCase):
    # Guards against a lost response that a node without links notices too late.
    def test_node_without_links_notices_a_lost_response_in_time(self) -> None:
        for detection_s in (3.0, 4.0, 10.0):
            for links in range(_watch_checks.MIN_LIVE_LINKS):
                with self.subTest(detection_s=detection_s, links=links):
                    noticed_s = (
                        _watch_checks.check_interval_s(detection_s, links, 730)
                        + _configuration_watcher.CHECK_LOOK_INTERVAL_S
                        + _SLOW_CALL_S
                    )
                    self.assertLess(noticed_s, detection_s)

    def test_linked_nodes_check_as_often_as_four_without_links(self) -> None:
        """Checks of a fleet in a second; its rate must not follow its size."""
        for nodes in (4, 17, 74, 194, 730):
            with self.subTest(nodes=nodes):
                interval_s = _watch_checks.check_interval_s(3.0, 5, nodes)
                self.assertLess(nodes / interval_s, 2.0)
