"""Builds plug-ins in dependency order, then starts and stops the parts."""

import graphlib
from collections.abc import Mapping
from typing import Protocol
from typing import runtime_checkable
from typing import TypeVar

from flamingolug import errors
from flamingolug.kernel import _registry

_Part = TypeVar("_Part")


@runtime_checkable
class Startable(Protocol):
    """A part that is started after all parts have been built."""

    def start(self) -> None:
        """Starts the part; must not block."""


@runtime_checkable
class Stoppable(Protocol):
    """A part that is stopped before the process exits."""

    def stop(self) -> None:
        """Stops the part; may block until its work is finished."""


class Kernel:
    """Builds, starts and stops the parts of one process.

    A part is the object that a plug-in builds, or one that is provided.
    Provided parts are neither started nor stopped.
    """

    def __init__(
        self,
        plugins: Mapping[str, _registry.Plugin],
        provided: Mapping[str, object],
    ) -> None:
        """Builds the parts of all plug-ins.

        Args:
            plugins: the plug-ins to build, by name.
            provided: parts that exist already, by name, such as the settings
                and the timers.

        Raises:
            KernelError: a required part is missing, or plug-ins require each
                other in a cycle.
        """
        self._parts: dict[str, object] = dict(provided)
        #: Names of the built parts, required parts first.
        self._build_order: list[str] = []
        for name in _resolve(plugins, provided):
            self._parts[name] = plugins[name].build(self)
            self._build_order.append(name)

    def get(self, name: str, part_type: type[_Part]) -> _Part:
        """Returns the part called `name`, which must be a `part_type`.

        Raises:
            KernelError: there is no such part, or it has another type.
        """
        part = self._parts.get(name)
        if not isinstance(part, part_type):
            raise errors.KernelError(
                f"part {name!r} has type {type(part).__name__}, "
                f"expected {part_type.__name__}; NoneType means that there is "
                "no such part: add it to `requires`",
                step="kernel.get",
            )
        return part

    def start(self) -> None:
        """Starts the built parts in the order in which they were built."""
        for name in self._build_order:
            part = self._parts[name]
            if isinstance(part, Startable):
                part.start()

    def stop(self) -> None:
        """Stops all built parts in reverse order, also after one has failed.

        Raises:
            ExceptionGroup: one or more parts failed to stop.
        """
        failures: list[Exception] = []
        for name in reversed(self._build_order):
            part = self._parts[name]
            if not isinstance(part, Stoppable):
                continue
            try:
                part.stop()
            except Exception as exc:
                failures.append(exc)
        if failures:
            raise ExceptionGroup("parts failed to stop", failures)


def _resolve(
    plugins: Mapping[str, _registry.Plugin], provided: Mapping[str, object]
) -> list[str]:
    """Returns the plug-in names, each after the plug-ins that it requires.

    Raises:
        KernelError: a required part is missing, or plug-ins require each other
            in a cycle.
    """
    graph: dict[str, list[str]] = {}
    for plugin in plugins.values():
        required_plugins: list[str] = []
        for requirement in plugin.requires:
            if requirement in provided:
                continue
            if requirement not in plugins:
                raise errors.KernelError(
                    f"plug-in {plugin.name!r} requires the unknown part "
                    f"{requirement!r}; import the module that registers it",
                    step="kernel.resolve",
                )
            required_plugins.append(requirement)
        graph[plugin.name] = required_plugins
    try:
        return list(graphlib.TopologicalSorter(graph).static_order())
    except graphlib.CycleError as exc:
        raise errors.KernelError(
            f"plug-ins require each other in a cycle: {exc.args[1]}",
            step="kernel.resolve",
        ) from exc
