"""Packages that import their modules at the first use of a name."""

from collections.abc import Callable, Mapping
from importlib import import_module

__all__ = ["lazy_exports"]


def lazy_exports(
    package: str, names_by_module: Mapping[str, tuple[str, ...]]
) -> tuple[Callable[[str], object], list[str]]:
    """Return ``__getattr__`` (PEP 562) and ``__all__`` for a package.

    A process then only loads the modules that it uses.

    :param package: name of the package.
    :param names_by_module: the exported names by the module that defines them.
    """
    module_by_name = {
        name: module for module, names in names_by_module.items() for name in names
    }

    def get(name: str) -> object:
        module = module_by_name.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(import_module(f".{module}", package), name)

    return get, sorted(module_by_name)
