"""Tests of the lifetime of child processes."""

import os
import signal
import subprocess
import sys
import time

import pytest

SCRIPT = """
import sys, time, threading
from pathlib import Path
from pistachiolift.standins import ChildProcess, free_ports

def start():
    port = str(free_ports(1)[0])
    children.append(
        ChildProcess(["standin", "store", "--port", port], Path(sys.argv[1]))
    )

children = []
thread = threading.Thread(target=start)
thread.start()
thread.join()
print(children[0].pid, flush=True)
time.sleep(60)
"""
LIMIT_S = 20.0


def is_running(pid):
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


class TestChildProcess:
    @pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
    def test_ends_with_its_parent_and_not_with_the_starting_thread(
        self, number, tmp_path
    ):
        """Guards against processes left behind when a test run is killed."""
        parent = subprocess.Popen(
            [sys.executable, "-c", SCRIPT, str(tmp_path / "log")],
            stdout=subprocess.PIPE,
            text=True,
        )
        with parent:
            child = int(parent.stdout.readline())
            time.sleep(0.2)
            assert is_running(child)
            parent.send_signal(number)
        end_s = time.monotonic() + LIMIT_S
        while is_running(child) and time.monotonic() < end_s:
            time.sleep(0.05)
        assert not is_running(child)
