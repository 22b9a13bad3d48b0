"""Runs instances as processes against stand-ins for the platform."""

import http.client
import json
import signal
import subprocess
import sys
import time
from pathlib import Path

from pistachiolift.standins import ChildProcess, free_ports

START_LIMIT_S = 40.0
START_TRIES = 4
HOST = "jobs.example"


class PortTakenError(Exception):
    """Another process has bound a port first."""


class PlatformCell:
    """Instances on loopback. Leaving the context ends all processes.

    :param directory: directory for settings files and logs.
    :param partitions: number of partitions, and of racks.
    """

    def __init__(
        self,
        directory: Path,
        *,
        instances: int = 3,
        workers: int = 3,
        partitions: int = 1,
    ):
        self.directory = directory
        self._instances = instances
        self._workers = workers
        self._partitions = partitions
        self.processes: dict[str, ChildProcess] = {}

    def assign_ports(self, ports: list[int]) -> None:
        """Assign ports that are free now; another process may still bind one first."""
        workers, instances = self._workers, self._instances
        self.ports = {
            "store": ports[0],
            "adviser": ports[1],
            "control": ports[2],
            "racks": self._partitions,
            "workers": ports[3 : 3 + workers],
        }
        rest = ports[3 + workers :]
        self.caller_ports = rest[:instances]
        self.ready_ports = rest[instances : 2 * instances]
        self.peer_ports = rest[2 * instances : 3 * instances]

    def port_count(self) -> int:
        """Return the number of ports that the cell needs."""
        return 3 + self._workers + 3 * self._instances

    def __enter__(self) -> "PlatformCell":
        for _ in range(START_TRIES):
            self.assign_ports(free_ports(self.port_count()))
            try:
                self.start()
                return self
            except PortTakenError:
                self.__exit__()
            except BaseException:
                self.__exit__()
                raise
        raise PortTakenError(f"ports were taken {START_TRIES} times")

    def start(self) -> None:
        """Start all processes."""
        self._start(
            "platform",
            "pistachiolift.platform.tests.standin_platform",
            json.dumps(self.ports),
        )
        self._wait_for_start(self._platform_answers, "platform")
        for index in range(self._instances):
            self.start_instance(index)
        for index in range(self._instances):
            self._wait_for_start(lambda i=index: self.ready(i), f"instance-{index}")

    def _wait_for_start(self, condition, name: str) -> None:
        def started() -> bool:
            if not self.processes[name].running:
                log = (self.directory / f"{name}.log").read_text()
                if "Address already in use" in log:
                    raise PortTakenError(f"a port of {name} was taken")
                raise RuntimeError(f"{name} ended: {log[-2000:]}")
            return condition()

        self.wait_until(started, name)

    def __exit__(self, *exc_info: object) -> None:
        for process in self.processes.values():
            process.kill()
        for name in self.processes:
            log = self.directory / f"{name}.log"
            if "Address already in use" in log.read_text():
                log.write_text("")
        self.processes.clear()

    def _start(self, name: str, module: str, *arguments: str) -> None:
        self.processes[name] = ChildProcess(
            list(arguments), self.directory / f"{name}.log", module=module
        )

    def start_instance(self, index: int) -> None:
        """Start an instance, or start it again."""
        path = self.settings_path(index)
        path.write_text(json.dumps(self.settings(index)))
        self._start(
            f"instance-{index}",
            "pistachiolift",
            "node",
            "--settings-file",
            str(path),
        )

    def settings(self, index: int) -> dict:
        """Return an instance's settings."""
        peer_port = self.peer_ports[index]
        return {
            "instance_id": f"node-{index}",
            "ip": "127.0.0.1",
            "zone": "z1",
            "caller_address": f"127.0.0.1:{self.caller_ports[index]}",
            "ready_address": f"127.0.0.1:{self.ready_ports[index]}",
            "peer_ports": [peer_port, peer_port],
            "store_address": f"127.0.0.1:{self.ports['store']}",
            "adviser_address": f"127.0.0.1:{self.ports['adviser']}",
            "grace_s": 6.0,
            "workers_per_partition": max(1, self._workers // self._partitions),
        }

    def settings_path(self, index: int) -> Path:
        """Return the file with an instance's settings."""
        return self.directory / f"settings-{index}.json"

    def operate(self, index: int, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run an operator's command against an instance."""
        url = f"http://127.0.0.1:{self.ready_ports[index]}"
        return subprocess.run(
            [sys.executable, "-m", "pistachiolift", *arguments, "--operator-url", url],
            capture_output=True,
            text=True,
            timeout=START_LIMIT_S,
        )

    def kill(self, index: int) -> None:
        """Kill an instance's process."""
        self.processes[f"instance-{index}"].kill()

    def terminate(self, index: int) -> None:
        """Ask an instance to stop."""
        self.processes[f"instance-{index}"].send_signal(signal.SIGTERM)

    @staticmethod
    def wait_until(condition, what: str, limit_s: float = START_LIMIT_S) -> None:
        """Wait until a condition holds.

        :raises TimeoutError: if the condition does not hold within the limit.
        """
        end = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > end:
                raise TimeoutError(f"{what}: not within {limit_s} s")
            time.sleep(0.05)

    @staticmethod
    def request(
        port, method, path, body=None, timeout_s=5.0, key=""
    ) -> tuple[int, dict]:
        """Make a call; the status is 0 if there is no answer."""
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)
        try:
            data = body
            if body is not None and not isinstance(body, bytes):
                data = json.dumps(body)
            headers = {"Host": HOST, "Content-Type": "application/json"}
            if key:
                headers["Authorization"] = f"Bearer {key}"
            connection.request(method, path, body=data, headers=headers)
            answer = connection.getresponse()
            text = answer.read()
            try:
                return answer.status, json.loads(text) if text else {}
            except ValueError:
                return answer.status, {"text": text.decode("utf-8", "replace")}
        except (OSError, http.client.HTTPException):
            return 0, {}
        finally:
            connection.close()

    def _platform_answers(self) -> bool:
        return self.request(self.ports["control"], "GET", "/runs")[0] == 200

    def ready(self, index: int) -> bool:
        """Whether an instance's readiness check passes."""
        return self.request(self.ready_ports[index], "GET", "/api/readyz")[0] == 200

    def call(
        self, index: int, method: str, path: str, body=None, key=""
    ) -> tuple[int, dict]:
        """Call an instance as a client does."""
        return self.request(self.caller_ports[index], method, path, body, key=key)

    def submit(self, index: int, job: str, *, ms=200, queue="urgent", steps=None):
        """Submit a job; ``ms`` is the run time of each task."""
        steps = steps or [{"Count": 2, "Cpu": 500, "MemMb": 100, "EstimateMs": ms}]
        return self.call(
            index, "POST", f"/{queue}/{job}", {"Spec": str(ms), "Steps": steps}
        )[0]

    def state(self, index: int, job: str, queue="urgent") -> str:
        """Return a job's state."""
        return self.call(index, "GET", f"/{queue}/{job}")[1].get("State", "")

    def runs(self) -> list[dict]:
        """Return the runs that the workers have recorded."""
        port = self.ports["control"]
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
        try:
            connection.request("GET", "/runs")
            return json.loads(connection.getresponse().read())
        finally:
            connection.close()

    def control(self, path: str, body=None) -> None:
        """Send a control command to the stand-ins."""
        status, _ = self.request(self.ports["control"], "POST", path, body)
        assert status == 200

    def owner(self, partition: int = 0) -> int | None:
        """Return the index of a partition's owner according to the metrics."""
        name = f"pistachiolift_partition_{partition}_owner 1.0"
        for index, port in enumerate(self.ready_ports):
            status, answer = self.request(port, "GET", "/metrics")
            if status == 200 and name in str(answer):
                return index
        return None
