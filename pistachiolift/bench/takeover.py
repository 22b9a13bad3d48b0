"""Time without an owner, and what happens to requests while owners fail."""

import random
import signal
import time
from collections import Counter

from .cell import CUSTOMER, Cell
from .load import LoadOrder, LoadResult, LoadStream, load_process
from .report import Measure, percentile

__all__ = ["measure_ownership", "measure_requests_under_faults"]

TARGET_S = 4.7
REPETITIONS = 5
FAULTED_REQUESTS = 1000
FAULTED_RATE = 40.0
FAULT_INTERVAL_S = 1.0
FREEZE_S = 0.5
POLL_S = 0.02


def measure_ownership(*, seed: int = 1) -> list[Measure]:
    """Kill, freeze and drain owners in turn and time how long no owner has authority.

    A gap ends when another instance reports authority over all partitions of the
    victim. The planned stop, which hands over, is the baseline.
    """
    gaps_s: dict[str, list[float]] = {"drain": [], "kill": [], "freeze": []}
    with Cell(instances=3, upstreams=2) as cell:
        for _ in range(REPETITIONS):
            gaps_s["drain"].append(_end_owner(cell, signal.SIGTERM))
            gaps_s["kill"].append(_end_owner(cell, signal.SIGKILL))
            gaps_s["freeze"].append(_freeze_owner(cell))
    drained_s = percentile(gaps_s["drain"], 0.5)
    return [
        Measure(
            name="ownership",
            measure=f"time without an owner after a {fault}, {REPETITIONS} repetitions",
            value=f"p50 {percentile(values, 0.5):.2f} s, max {max(values):.2f} s",
            baseline=f"planned stop p50 {drained_s:.2f} s",
            target=f"at most {TARGET_S} s",
            met=max(values) <= TARGET_S,
            figures={"gaps_s": values},
        )
        for fault, values in gaps_s.items()
    ]


def _victim(cell: Cell) -> tuple[str, set[str]]:
    owners = cell.owners()
    victim = next(iter(owners.values()))
    return victim, {p for p, owner in owners.items() if owner == victim}


def _gap_s(cell: Cell, victim: str, partitions: set[str], begin_s: float) -> float:
    others = [name for name in cell.instances if name != victim]
    cell.wait_for(
        lambda: partitions <= set(cell.owners(others)), f"{partitions} have owners", 30
    )
    return time.monotonic() - begin_s


def _end_owner(cell: Cell, number: signal.Signals) -> float:
    victim, partitions = _victim(cell)
    node = cell.instances[victim]
    begin_s = time.monotonic()
    node.process.send_signal(number)
    if number is signal.SIGTERM:
        # The owner keeps its authority until it hands over.
        while set(cell.owners([victim])) & partitions:
            begin_s = time.monotonic()
    gap_s = _gap_s(cell, victim, partitions, begin_s)
    cell.remove_instance(victim)
    cell.add_instance(caller_port=0)
    cell.wait_for(cell.settled, "the cell is settled")
    return gap_s


def _freeze_owner(cell: Cell) -> float:
    victim, partitions = _victim(cell)
    node = cell.instances[victim]
    begin_s = time.monotonic()
    node.process.send_signal(signal.SIGSTOP)
    gap_s = _gap_s(cell, victim, partitions, begin_s)
    node.process.send_signal(signal.SIGCONT)
    cell.wait_for(cell.settled, "the cell is settled")
    return gap_s


def measure_requests_under_faults(*, seed: int = 1) -> list[Measure]:
    """Send requests while an instance is killed and replaced, or paused, each second.

    The same load without faults is the baseline.
    """
    with load_process() as loader, Cell(instances=3, upstreams=4) as cell:
        calm = loader.run(_order(cell, "calm", seed))
        loader.start(_order(cell, "faults", seed))
        faults = _inject_faults(cell, random.Random(seed))
        result = loader.finish()
        runs = cell.seen()
    lost, doubled, wrong = judge(result, runs)
    outcomes, calm_outcomes = result.outcomes(), calm.outcomes()
    return [
        Measure(
            name="ownership",
            measure=f"{FAULTED_REQUESTS} requests with a fault every second",
            value=f"lost {lost}, doubled {doubled}, reported wrongly {wrong}, "
            f"unknown {outcomes['unknown']}",
            baseline=f"without faults {dict(calm_outcomes)}",
            target="lost 0, doubled 0, reported wrongly 0",
            met=not (lost or doubled or wrong),
            figures={"outcomes": dict(outcomes), "faults": dict(faults)},
        )
    ]


def _order(cell: Cell, prefix: str, seed: int) -> LoadOrder:
    kinds = ("check-in", "publication")
    streams = [
        LoadStream(
            kind=kind,
            rate=FAULTED_RATE / len(kinds),
            requests=FAULTED_REQUESTS // len(kinds),
            run_s=0.1,
        )
        for kind in kinds
    ]
    return LoadOrder(
        ports=cell.caller_ports(), streams=streams, prefix=prefix, seed=seed
    )


def _inject_faults(cell: Cell, rng: random.Random) -> Counter[str]:
    faults: Counter[str] = Counter()
    end_s = time.monotonic() + FAULTED_REQUESTS / FAULTED_RATE
    while time.monotonic() < end_s:
        due_s = time.monotonic() + FAULT_INTERVAL_S
        victim = rng.choice(sorted(cell.instances))
        process = cell.instances[victim].process
        if faults.total() % 3 == 0:
            faults["kill"] += 1
            process.kill()
            port = cell.remove_instance(victim).port
            cell.add_instance(caller_port=port)
        else:
            faults["pause"] += 1
            process.send_signal(signal.SIGSTOP)
            time.sleep(FREEZE_S)
            process.send_signal(signal.SIGCONT)
        time.sleep(max(0.0, due_s - time.monotonic()))
    return faults


def judge(result: LoadResult, runs: list[dict]) -> tuple[int, int, int]:
    """Compare what callers were told with what the upstreams ran.

    :returns: numbers of requests without an answer; of those that ran twice although
        they must not be repeated, or twice at once; and of those that were reported
        as not run or as done against the facts.
    """
    runs_by_key: dict[str, list[dict]] = {}
    for run in runs:
        key = run["request_id"].removeprefix(f"{CUSTOMER}/")
        runs_by_key.setdefault(key, []).append(run)
    lost = doubled = wrong = 0
    for sent in result.sent:
        same = sorted(runs_by_key.get(sent.key, []), key=lambda run: run["started_s"])
        overlap = any(
            not a["ended_s"] or b["started_s"] < a["ended_s"]
            for a, b in zip(same, same[1:], strict=False)
        )
        lost += sent.status == 0
        doubled += overlap or (sent.kind == "publication" and len(same) > 1)
        not_run = sent.outcome in ("refused", "expired", "cancelled_not_run")
        wrong += (not_run and bool(same)) or (sent.outcome == "done" and not same)
    return lost, doubled, wrong
