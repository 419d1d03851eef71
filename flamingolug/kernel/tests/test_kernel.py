"""Plug-ins: order of building, stopping, and what is refused."""

import unittest

from flamingolug import errors
from flamingolug import kernel


class _Part:
    """A part that logs."""

    def __init__(self, name: str, log: list[str], fails: bool = False) -> None:
        self._name = name
        self._log = log
        self._fails = fails

    def start(self) -> None:
        """Logs the start."""
        self._log.append(f"start {self._name}")

    def stop(self) -> None:
        """Logs the stop, or fails."""
        self._log.append(f"stop {self._name}")
        if self._fails:
            raise ValueError(self._name)


def _plugin(
    name: str, requires: tuple[str, ...], log: list[str], fails: bool = False
) -> kernel.Plugin:
    return kernel.Plugin(name, requires, lambda built: _Part(name, log, fails))


def _table(*plugins: kernel.Plugin) -> dict[str, kernel.Plugin]:
    return {each.name: each for each in plugins}


class KernelTest(unittest.TestCase):
    def test_requirements_start_first_and_stop_last(self) -> None:
        log: list[str] = []
        built = kernel.Kernel(
            _table(_plugin("b", ("a",), log), _plugin("a", (), log)), {}
        )
        built.start()
        built.stop()
        self.assertEqual(log, ["start a", "start b", "stop b", "stop a"])

    def test_unresolvable_graphs_are_refused(self) -> None:
        cases = {
            "missing": _table(_plugin("a", ("x",), [])),
            "circle": _table(
                _plugin("a", ("b",), []), _plugin("b", ("a",), [])
            ),
        }
        for name, plugins in cases.items():
            with self.subTest(name), self.assertRaises(errors.KernelError):
                kernel.Kernel(plugins, {})

    def test_all_parts_stop_and_all_failures_are_reported(self) -> None:
        log: list[str] = []
        built = kernel.Kernel(
            _table(
                _plugin("a", (), log, fails=True),
                _plugin("b", (), log, fails=True),
            ),
            {},
        )
        with self.assertRaises(ExceptionGroup) as caught:
            built.stop()
        self.assertEqual(len(caught.exception.exceptions), 2)


class ProgramTest(unittest.TestCase):
    """Parts of several programs that are imported into one process."""

    def test_each_program_gets_its_own_parts(self) -> None:
        @kernel.plugin("test.part", (), "test-program")
        def build(built: kernel.Kernel) -> object:
            del built
            return object()

        del build
        self.assertIn("test.part", kernel.registered("test-program"))
        self.assertNotIn("test.part", kernel.registered())
