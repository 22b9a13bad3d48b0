import re
from pathlib import Path

import click
import pytest

import pistachiolift
from pistachiolift.cli import main
from pistachiolift.cli.exit_codes import ExitCode

PACKAGE = Path(pistachiolift.__file__).parent
PAGE = (PACKAGE.parent / "docs" / "OPERATIONS.md").read_text()
SOURCES = [
    path.read_text()
    for path in PACKAGE.rglob("*.py")
    if "tests" not in path.parts and "standins" not in path.parts
]


def commands(command=main, path="pistachiolift"):
    yield path, command
    if not isinstance(command, click.Group):
        return
    context = click.Context(command)
    for name in command.list_commands(context):
        yield from commands(command.get_command(context, name), f"{path} {name}")


ALL = dict(commands())
COUNT = re.compile(r'(?:count|gauge|timing_ms)\(\s*f?"([a-z_.{}A-Z()]+)"')
EVENT = re.compile(r'log_event\(\s*_?logger,\s*"([a-z_]+)"')


@pytest.mark.parametrize("path", ALL)
class TestCommand:
    def test_help_with_an_example(self, path):
        command = ALL[path]
        assert command.help
        assert f"Example:\n  {path}" in (command.epilog or "")

    def test_every_option_has_help_and_a_variable(self, path):
        context = click.Context(ALL[path], info_name=path)
        for parameter in ALL[path].params:
            if isinstance(parameter, click.Option) and parameter.name != "version":
                assert parameter.help, parameter.name
                assert parameter.show_envvar, parameter.name
        assert path in ALL[path].get_help(context)

    def test_commands_that_print_offer_json(self, path):
        silent = ("serve", "node", "standin", "completion")
        command = ALL[path]
        if not isinstance(command, click.Group) and not any(x in path for x in silent):
            assert "output" in [each.name for each in command.params]


class TestOperationsPage:
    @pytest.mark.parametrize(
        "path", [p for p, c in ALL.items() if not isinstance(c, click.Group)]
    )
    def test_names_every_command(self, path):
        assert path in PAGE

    def test_names_every_variable_of_serve(self):
        for parameter in ALL["pistachiolift serve"].params:
            assert f"PISTACHIOLIFT_SERVE_{parameter.name.upper()}" in PAGE

    def test_names_every_exit_code(self):
        assert all(f"| {code.value} | {code.meaning} |" in PAGE for code in ExitCode)

    def test_names_every_counter_and_event(self):
        """Guards against a counter or an event that operators cannot look up."""
        names = {re.sub(r"\{.*", "", n) for s in SOURCES for n in COUNT.findall(s)}
        names |= {name for s in SOURCES for name in EVENT.findall(s)}
        assert len(names) > 100
        assert sorted(name for name in names if f"`{name}" not in PAGE) == []
