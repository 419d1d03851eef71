"""Registry of plug-ins, filled when the modules of plug-ins are imported."""

from collections.abc import Callable
from typing import NamedTuple
from typing import TYPE_CHECKING

from flamingolug import errors

if TYPE_CHECKING:
    from flamingolug.kernel import _kernel


class Plugin(NamedTuple):
    """Describes how a part is built and which parts it requires."""

    #: Unique name, such as `routing`.
    name: str
    #: Names of the parts that must exist before this one is built.
    requires: tuple[str, ...]
    #: Returns the new part; gets the required parts from the kernel.
    build: Callable[["_kernel.Kernel"], object]
    #: Name of the program that the part belongs to, such as `node`.
    program: str = "node"


_PLUGINS: dict[str, Plugin] = {}


def plugin(
    name: str, requires: tuple[str, ...] = (), program: str = "node"
) -> Callable[
    [Callable[["_kernel.Kernel"], object]],
    Callable[["_kernel.Kernel"], object],
]:
    """Returns a decorator that registers a build function as a plug-in.

    Args:
        name: name of the plug-in and of its part.
        requires: names of the parts that must exist first.
        program: name of the program that the part belongs to.

    Raises:
        KernelError: on decoration, when the name is already registered.
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
    """Returns the registered plug-ins of a program by name."""
    return {
        name: entry
        for name, entry in _PLUGINS.items()
        if entry.program == program
    }
