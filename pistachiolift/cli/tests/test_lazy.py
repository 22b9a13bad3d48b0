"""An instance imports no modules of other commands."""

import subprocess
import sys

import pytest

# Each imported module costs a restarted instance time and memory.
SCRIPT = """
import sys
import click
from pistachiolift.cli import main
assert main.get_command(click.Context(main), "node") is not None
print(*sys.modules)
"""


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
