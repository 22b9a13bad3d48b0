"""Starts the processes of cells for tests, soak tests and measurements.

The product itself starts no child processes.
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

# Disables the buffering of output; SIGABRT dumps the stacks of all threads.
PYTHON_OPTIONS = {"PYTHONUNBUFFERED": "1", "PYTHONFAULTHANDLER": "1"}

# From <linux/prctl.h>.
PR_SET_PDEATHSIG = 1

_libc = ctypes.CDLL(None, use_errno=True)

# PR_SET_PDEATHSIG ends a child with the thread that started it, so all children are
# started by a thread that lives as long as the process.
_starter = ThreadPoolExecutor(max_workers=1, thread_name_prefix="starter")


def _end_with_parent() -> None:
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class ChildProcess:
    """A child process whose output goes to a file.

    It ends with its parent process, even if the parent is killed.

    :param arguments: command line arguments of the module.
    :param log_path: file to which the output is appended.
    :param module: Python module to run.
    """

    def __init__(
        self, arguments: list[str], log_path: Path, *, module: str = "pistachiolift"
    ):
        self.log_path = log_path
        with log_path.open("ab") as log:
            future = _starter.submit(
                subprocess.Popen,
                [sys.executable, "-m", module, *arguments],
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": str(ROOT), **PYTHON_OPTIONS},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=_end_with_parent,
            )
            self._popen = future.result()

    @property
    def pid(self) -> int:
        """Process identifier."""
        return self._popen.pid

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self._popen.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self.running:
            self._popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGKILL)
        self._popen.wait()

    def abort(self) -> str:
        """Abort the process and return its output with the stacks of its threads."""
        self.send_signal(signal.SIGABRT)
        self._popen.wait()
        return self.log()

    def wait(self, limit_s: float) -> int:
        """Wait for the end of the process and return its exit code.

        :param limit_s: time-out, in seconds.
        :raises subprocess.TimeoutExpired: if the process is still running then.
        """
        return self._popen.wait(limit_s)

    def log(self) -> str:
        """Return the output so far."""
        return self.log_path.read_text(errors="replace")
