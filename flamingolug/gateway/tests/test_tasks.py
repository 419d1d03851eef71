"""Tasks that a defect ends."""

import unittest
from unittest import mock

import gevent

from flamingolug.gateway import _tasks


class RestartTest(unittest.TestCase):
    # Guards against a node that goes on without its watch or its lease.
    def test_task_is_started_again_after_a_defect(self) -> None:
        runs: list[int] = []

        def run() -> None:
            runs.append(len(runs))
            if len(runs) < 3:
                raise KeyError("defect")
            gevent.sleep(60.0)

        with mock.patch.object(_tasks, "RESTART_DELAY_S", 0.01):
            task = _tasks.spawn("test", run)
            gevent.sleep(0.1)
        self.assertEqual(len(runs), 3)
        task.kill()
        gevent.sleep(0.02)
        self.assertEqual(len(runs), 3)
