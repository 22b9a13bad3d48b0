"""Starts the processes of cells for tests, soaks and measurements.

No process of the product starts another one.
"""

import ctypes
import os
import signal
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

__all__ = ["ChildProcess"]

ROOT = Path(__file__).parents[2]

# Output is not held back, and SIGABRT has the stacks of all threads written.
PYTHON_OPTIONS = {"PYTHONUNBUFFERED": "1", "PYTHONFAULTHANDLER": "1"}

# From <linux/prctl.h>.
PR_SET_PDEATHSIG = 1

_libc = ctypes.CDLL(None, use_errno=True)

# The kernel ends a child with the thread that started it, so that one thread, which
# lives as long as the process, starts all.
_starter = ThreadPoolExecutor(max_workers=1, thread_name_prefix="starter")


def _end_with_parent() -> None:
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class ChildProcess:
    """A child process whose output goes to a file.

    It ends with the process that started it, also when that is killed.

    :param arguments: arguments of the module.
    :param log_path: file to which the output is appended.
    :param module: module to run.
    """

    def __init__(
        self, arguments: list[str], log_path: Path, *, module: str = "pistachiolift"
    ):
        self.log_path = log_path
        with log_path.open("ab") as log:
            starting = _starter.submit(
                subprocess.Popen,
                [sys.executable, "-m", module, *arguments],
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": str(ROOT), **PYTHON_OPTIONS},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=_end_with_parent,
            )
            self._popen = starting.result()

    @property
    def pid(self) -> int:
        """Process identifier."""
        return self._popen.pid

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._popen.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self.running:
            self._popen.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.send_signal(signal.SIGKILL)
        self._popen.wait()

    def abort(self) -> str:
        """End the process and return its output, with the stacks of its threads."""
        self.send_signal(signal.SIGABRT)
        self._popen.wait()
        return self.log()

    def wait(self, limit_s: float) -> int:
        """Return the exit code.

        :raises subprocess.TimeoutExpired: if the process still runs.
        """
        return self._popen.wait(limit_s)

    def log(self) -> str:
        """Return the output so far."""
        return self.log_path.read_text(errors="replace")
