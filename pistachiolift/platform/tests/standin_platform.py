"""Runs stand-ins for the platform in one process: store, workers, adviser, operator.

The first argument is a JSON document with the ports. The control port returns what the
workers have run, and lets tests change the store.
"""

import json
import sys

from klein import Klein
from twisted.internet import reactor
from twisted.web.server import Site

from .standin_store import StandinStore
from .standin_worker import StandinWorker

HEARTBEAT_S = 0.5
SERVICE = "pool-a"


def configuration(version: int) -> dict:
    """Return a configuration with one ordinary queue and one that needs advice."""
    routes = [
        ("urgent", "/urgent/", 0, None),
        ("advised", "/advised/", 1, {"DecideMs": 10, "EachMs": 1, "ValidMs": 1500}),
    ]
    return {
        "Version": version,
        "Routes": [
            {
                "Name": name,
                "Host": "jobs.example",
                "Prefix": prefix,
                "RouteType": "non_idempotent",
                "TimeoutMs": 3000,
                "TargetDurationMs": 500,
                "Priority": priority,
                "Service": SERVICE,
                "MaxAttempts": 2,
                "Stretch": 2.0,
                **({"Advice": advice} if advice else {}),
            }
            for name, prefix, priority, advice in routes
        ],
        "Services": [{"Name": SERVICE, "EnforcesCapacity": False, "Spare": False}],
        "Limits": {"MaxBodyBytes": 262144},
    }


def main() -> None:
    """Serve until killed."""
    ports = json.loads(sys.argv[1])
    store = StandinStore()
    log: list[dict] = []
    workers = [
        StandinWorker(
            f"i-{index}", f"127.0.0.1:{port}", log, f"r{index % ports['racks']}"
        )
        for index, port in enumerate(ports.get("advertised", ports["workers"]))
    ]

    def listen(port, app):
        reactor.listenTCP(port, Site(app.resource()), interface="127.0.0.1")

    def beat():
        for worker in workers:
            entry = json.dumps(worker.entry(SERVICE)).encode()
            store.put(f"servers/{worker.worker_id}", entry)
        reactor.callLater(HEARTBEAT_S, beat)

    control = Klein()

    @control.route("/runs")
    def runs(request):
        return json.dumps(log).encode()

    @control.route("/store/<state>", methods=["POST"])
    def set_store(request, state):
        store.down = state == "down"
        return b""

    @control.route("/worker/<int:index>/restart/<int:down_ms>", methods=["POST"])
    def restart_worker(request, index, down_ms):
        workers[index].crash()
        reactor.callLater(down_ms / 1000, workers[index].restart)
        return b""

    @control.route("/delayed-starts/<int:every>", methods=["POST"])
    def set_delayed_starts(request, every):
        StandinWorker.delayed_every = every
        return b""

    @control.route("/config/<int:version>", methods=["POST"])
    def set_config(request, version):
        store.put("op/config", json.dumps(configuration(version)).encode())
        return b""

    @control.route("/item/<path:key>", methods=["POST"])
    def set_item(request, key):
        store.put(key, request.content.read())
        return b""

    store.put("op/config", json.dumps(configuration(3)).encode())
    beat()
    listen(ports["store"], store.app())
    for worker, port in zip(workers, ports["workers"], strict=True):
        listen(port, worker.app())
    listen(ports["adviser"], workers[0].app())
    listen(ports["control"], control)
    reactor.run()


if __name__ == "__main__":
    main()
