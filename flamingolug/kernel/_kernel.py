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
    """A part with work to begin once all parts are built."""

    def start(self) -> None:
        """Begins the work; must not block."""


@runtime_checkable
class Stoppable(Protocol):
    """A part with work to end before the process exits."""

    def stop(self) -> None:
        """Ends the work; may block until it is finished."""


class Kernel:
    """Holds the built parts of one process."""

    def __init__(
        self,
        plugins: Mapping[str, _registry.Plugin],
        provided: Mapping[str, object],
    ) -> None:
        """Builds every plug-in.

        Args:
            plugins: the plug-ins to build, by name.
            provided: parts that exist already, such as settings and clock.

        Raises:
            KernelError: a requirement is missing or the graph has a cycle.
        """
        self._parts: dict[str, object] = dict(provided)
        self._order: list[str] = []
        for name in _resolve(plugins, provided):
            self._parts[name] = plugins[name].build(self)
            self._order.append(name)

    def get(self, name: str, kind: type[_Part]) -> _Part:
        """Returns the part `name`, checked to be a `kind`.

        Raises:
            KernelError: no such part, or it is of another type.
        """
        part = self._parts.get(name)
        if not isinstance(part, kind):
            raise errors.KernelError(
                f"part {name!r} is {type(part).__name__}, "
                f"expected {kind.__name__}; declare it in `requires`",
                step="kernel.get",
            )
        return part

    def start(self) -> None:
        """Starts the parts, requirements first."""
        for name in self._order:
            part = self._parts[name]
            if isinstance(part, Startable):
                part.start()

    def stop(self) -> None:
        """Stops the parts in reverse order and reports all failures.

        Raises:
            ExceptionGroup: one or more parts failed to stop.
        """
        failures: list[Exception] = []
        for name in reversed(self._order):
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
    """Returns the plug-in names so that each follows its requirements."""
    graph: dict[str, list[str]] = {}
    for plugin in plugins.values():
        needed: list[str] = []
        for requirement in plugin.requires:
            if requirement in provided:
                continue
            if requirement not in plugins:
                raise errors.KernelError(
                    f"plug-in {plugin.name!r} requires unknown "
                    f"{requirement!r}; import the module that registers it",
                    step="kernel.resolve",
                )
            needed.append(requirement)
        graph[plugin.name] = needed
    try:
        return list(graphlib.TopologicalSorter(graph).static_order())
    except graphlib.CycleError as exc:
        raise errors.KernelError(
            f"plug-ins require each other: {exc.args[1]}",
            step="kernel.resolve",
        ) from exc
