"""Registry that plug-ins add themselves to when their module is imported."""

from collections.abc import Callable
from typing import NamedTuple
from typing import TYPE_CHECKING

from flamingolug import errors

if TYPE_CHECKING:
    from flamingolug.kernel import _kernel


class Plugin(NamedTuple):
    """One part of the node and what it needs before it can be built."""

    #: Unique name, such as `routing`.
    name: str
    #: Names of the plug-ins that must be built first.
    requires: tuple[str, ...]
    #: Builds the part; it may look up what it requires in the kernel.
    build: Callable[["_kernel.Kernel"], object]
    #: Program that the part belongs to, such as `node`.
    program: str = "node"


_PLUGINS: dict[str, Plugin] = {}


def plugin(
    name: str, requires: tuple[str, ...] = (), program: str = "node"
) -> Callable[
    [Callable[["_kernel.Kernel"], object]],
    Callable[["_kernel.Kernel"], object],
]:
    """Registers the decorated builder as plug-in `name` of a program.

    Raises:
        KernelError: another plug-in already has this name.
    """

    def register(
        build: Callable[["_kernel.Kernel"], object],
    ) -> Callable[["_kernel.Kernel"], object]:
        if name in _PLUGINS:
            raise errors.KernelError(
                f"plug-in {name!r} is registered twice; rename one of them",
                step="kernel.register",
            )
        _PLUGINS[name] = Plugin(name, requires, build, program)
        return build

    return register


def registered(program: str = "node") -> dict[str, Plugin]:
    """Returns the registered plug-ins of one program by name."""
    return {
        name: found
        for name, found in _PLUGINS.items()
        if found.program == program
    }
