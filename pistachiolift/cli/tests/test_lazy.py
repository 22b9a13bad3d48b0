"""An instance imports no modules of other commands."""

import subprocess
import sys
from importlib.metadata import packages_distributions
from pathlib import Path

import pytest

# Each imported module costs a restarted instance time and memory. Twisted loads its
# TLS support, which deploy/requirements.txt does not install, wherever it finds it.
SCRIPT = """
import sys
sys.modules["OpenSSL"] = None
import click
from pistachiolift.cli import main
assert main.get_command(click.Context(main), "node") is not None
print(*(name for name, module in sys.modules.items() if module))
"""

ROOT = Path(__file__).parents[3]
MODULE_BY_PROJECT = {"attrs": "attr", "zope.interface": "zope"}


def start_modules() -> set[str]:
    """Return what the interpreter's own start-up loads in this environment."""
    script = "import sys; print(*{name.partition('.')[0] for name in sys.modules})"
    output = subprocess.check_output([sys.executable, "-c", script], text=True)
    return set(output.split())


START_MODULES = start_modules()


class TestNode:
    @pytest.fixture(scope="class")
    def loaded(self):
        result = subprocess.run(
            [sys.executable, "-c", SCRIPT], capture_output=True, text=True, check=True
        )
        return set(result.stdout.split())

    @pytest.mark.parametrize(
        "module",
        ["cli.client", "cli.serve", "demo", "entry", "home", "jobs", "requests"],
    )
    def test_loads_no_module_of_other_commands(self, loaded, module):
        assert "pistachiolift.node.instance" in loaded
        assert f"pistachiolift.{module}" not in loaded

    @pytest.mark.parametrize(
        "library",
        ["cryptography", "klein", "pynng", "statsd", "treq", "werkzeug"],
    )
    def test_loads_no_library_that_only_other_commands_need(self, loaded, library):
        assert library not in loaded

    def test_loads_only_installed_libraries(self, loaded):
        """The platform installs nothing else for an instance."""
        lines = (ROOT / "deploy" / "requirements.txt").read_text().splitlines()
        names = {line.partition("==")[0].lower().replace("-", "_") for line in lines}
        names |= {MODULE_BY_PROJECT.get(name, name) for name in names}
        libraries = {
            name.partition(".")[0].lower()
            for name in loaded
            if name.partition(".")[0] in packages_distributions()
        }
        assert libraries - names - START_MODULES <= {"pistachiolift"}
