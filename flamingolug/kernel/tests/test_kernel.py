"""Tests of the registration, resolution, start and stop of plug-ins."""

import unittest

from flamingolug import errors
from flamingolug import kernel


class _Part:
    """A part that records its start and stop in a list."""

    def __init__(self, name: str, log: list[str], fails: bool = False) -> None:
        self._name = name
        self._log = log
        self._fails = fails

    def start(self) -> None:
        """Records the start."""
        self._log.append(f"start {self._name}")

    def stop(self) -> None:
        """Records the stop, then raises ValueError if `fails` is set."""
        self._log.append(f"stop {self._name}")
        if self._fails:
            raise ValueError(self._name)


def _plugin(
    name: str, requires: tuple[str, ...], log: list[str], fails: bool = False
) -> kernel.Plugin:
    return kernel.Plugin(
        name, requires, lambda unused_kernel: _Part(name, log, fails)
    )


def _by_name(*plugins: kernel.Plugin) -> dict[str, kernel.Plugin]:
    return {each.name: each for each in plugins}


class KernelTest(unittest.TestCase):
    def test_required_parts_start_first_and_stop_last(self) -> None:
        log: list[str] = []
        test_kernel = kernel.Kernel(
            _by_name(_plugin("b", ("a",), log), _plugin("a", (), log)), {}
        )
        test_kernel.start()
        test_kernel.stop()
        self.assertEqual(log, ["start a", "start b", "stop b", "stop a"])

    def test_missing_and_circular_requirements_raise_kernel_error(self) -> None:
        cases = {
            "missing": _by_name(_plugin("a", ("x",), [])),
            "cycle": _by_name(
                _plugin("a", ("b",), []), _plugin("b", ("a",), [])
            ),
        }
        for name, plugins in cases.items():
            with self.subTest(name), self.assertRaises(errors.KernelError):
                kernel.Kernel(plugins, {})

    def test_all_parts_are_stopped_and_all_failures_are_raised(self) -> None:
        log: list[str] = []
        test_kernel = kernel.Kernel(
            _by_name(
                _plugin("a", (), log, fails=True),
                _plugin("b", (), log, fails=True),
            ),
            {},
        )
        with self.assertRaises(ExceptionGroup) as caught:
            test_kernel.stop()
        self.assertEqual(len(caught.exception.exceptions), 2)


class ProgramTest(unittest.TestCase):
    """Plug-ins of several programs that are registered in one process."""

    def test_plugin_is_registered_only_for_its_program(self) -> None:
        @kernel.plugin("test.part", (), "test-program")
        def build(unused_kernel: kernel.Kernel) -> object:
            del unused_kernel
            return object()

        del build
        self.assertIn("test.part", kernel.registered("test-program"))
        self.assertNotIn("test.part", kernel.registered())
