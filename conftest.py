"""Passes over the tests that KNOWN-RED.txt lists, and prints them."""

from pathlib import Path

import pytest

LIST = Path(__file__).parent / "KNOWN-RED.txt"


def known_red() -> dict[str, str]:
    """Return the entries of the list by test; a line without ``::`` is a remark."""
    if not LIST.exists():
        return {}
    lines = [line for line in LIST.read_text().splitlines() if "::" in line]
    return {line.split(" | ")[0].strip(): line for line in lines}


def pytest_collection_modifyitems(config, items):
    """Deselect exactly the listed tests, unless they are asked for."""
    if config.getoption("--known-red"):
        return
    listed = known_red()
    red = [item for item in items if item.nodeid in listed]
    config.hook.pytest_deselected(items=red)
    items[:] = [item for item in items if item.nodeid not in listed]


def pytest_addoption(parser):
    """Add the option that runs the listed tests too."""
    parser.addoption(
        "--known-red", action="store_true", help="run the tests of KNOWN-RED.txt too"
    )


@pytest.hookimpl(trylast=True)
def pytest_terminal_summary(terminalreporter):
    """Print what was passed over."""
    for line in known_red().values():
        terminalreporter.write_line(f"known red, not run: {line}")
