"""Command groups that import their commands at first use."""

from importlib import import_module

import click

__all__ = ["LazyGroup"]


class LazyGroup(click.Group):
    """A group that imports a command's module at the command's first use.

    An instance starts in half the time without the modules of the other commands.

    :param module_by_command: module of this package that holds each command. A command
        that is a keyword of Python or a built-in function has a trailing underscore.
    """

    def __init__(
        self, *arguments: object, module_by_command: dict[str, str], **options: object
    ):
        super().__init__(*arguments, **options)
        self._module_by_command = module_by_command

    def list_commands(self, _context: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted({*self.commands, *self._module_by_command})

    def get_command(self, _context: click.Context, name: str) -> click.Command | None:
        """Return a command, ``None`` if there is none of this name."""
        module_name = self._module_by_command.get(name)
        if module_name is None:
            return self.commands.get(name)
        module = import_module(f".{module_name}", __package__)
        return getattr(module, name, None) or getattr(module, f"{name}_")
