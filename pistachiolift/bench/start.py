"""Processor time and memory of an instance's start on the users' platform."""

import os
import subprocess
import sys
from tempfile import TemporaryDirectory

import msgspec

__all__ = ["StartResult", "measure_start"]

START_TARGET_S = 0.3

# Twisted loads TLS support wherever it finds it; instances are deployed without it.
LOAD_SCRIPT = """
import sys
sys.modules["OpenSSL"] = None
import click
from pistachiolift.cli import main
main.get_command(click.Context(main), "node")
import twisted.internet.reactor
"""
# The peak of a new process would contain the memory of its parent.
PRINT_MEMORY = """
with open("/proc/self/status") as file:
    print(next(line.split()[1] for line in file if line.startswith("VmRSS")))
"""


class StartResult(msgspec.Struct, frozen=True, kw_only=True):
    """What loading the program took, as the least of several starts.

    :param processor_s: user and system time of the process.
    :param interpreter_s: the same of an interpreter that loads nothing.
    """

    processor_s: float
    interpreter_s: float
    memory_mb: float

    @property
    def met(self) -> bool:
        """Whether the target is met."""
        return self.processor_s <= START_TARGET_S


def _run(script: str, cache: str) -> tuple[float, float]:
    command = [sys.executable, "-S", "-OO", "-c", script + PRINT_MEMORY]
    process = subprocess.Popen(
        command, env=_environment(cache), stdout=subprocess.PIPE, text=True
    )
    with process.stdout:
        memory_kb = process.stdout.read()
    _, status, usage = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    if process.returncode:
        raise subprocess.CalledProcessError(process.returncode, script)
    return usage.ru_utime + usage.ru_stime, int(memory_kb) / 1024


def _environment(cache: str) -> dict[str, str]:
    """Return an environment in which the packages of this process are found."""
    environment = dict(os.environ)
    environment.pop("PYTHONDONTWRITEBYTECODE", None)
    environment["PYTHONPYCACHEPREFIX"] = cache
    paths = [path or os.getcwd() for path in sys.path]
    environment["PYTHONPATH"] = os.pathsep.join(paths)
    return environment


def measure_start(*, starts: int = 5) -> StartResult:
    """Load the program of an instance several times.

    The first start compiles the modules and is not counted.
    """
    with TemporaryDirectory() as cache:
        _run(LOAD_SCRIPT, cache)
        loads = [_run(LOAD_SCRIPT, cache) for _ in range(starts)]
        idle = [_run("", cache) for _ in range(starts)]
    return StartResult(
        processor_s=min(processor_s for processor_s, _ in loads),
        interpreter_s=min(processor_s for processor_s, _ in idle),
        memory_mb=min(memory_mb for _, memory_mb in loads),
    )
