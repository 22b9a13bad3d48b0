"""Tests of the placement policies and of their worker index."""

import random

import pytest

from pistachiolift.jobs import (
    BatchPolicy,
    BestFitPolicy,
    DotProductPolicy,
    FirstFitPolicy,
    GangPolicy,
    NoPlacement,
    PlacementRequest,
    Resources,
    ServicePolicy,
    WorkerIndex,
    WorkerState,
    WorkerStatus,
)

POLICIES = [
    ServicePolicy,
    BatchPolicy,
    GangPolicy,
    FirstFitPolicy,
    BestFitPolicy,
    DotProductPolicy,
]


def make_view(sizes, rack_size=2):
    view = WorkerIndex()
    for number, size in enumerate(sizes):
        worker = WorkerState(
            f"w{number}",
            rack_id=f"r{number // rack_size}",
            capacity=Resources(*size),
            free=Resources(*size),
            status=WorkerStatus.LIVE,
        )
        view.put(worker)
    return view


def place(policy, view, need, **options):
    """Place a request and reserve its room; returns the workers or ``None``."""
    outcome = policy.place(PlacementRequest(resources=need, **options), view)
    if isinstance(outcome, NoPlacement):
        return None
    for worker_id in outcome.worker_ids:
        worker = view.workers_by_id[worker_id]
        worker.free = worker.free.minus(need)
        view.put(worker)
    return outcome.worker_ids


class TestPolicies:
    @pytest.mark.parametrize("policy_class", POLICIES)
    def test_placement_never_overcommits_and_finds_all_room(self, policy_class):
        """Guards against overcommitted workers and room that the index misses."""
        rng = random.Random(7)
        sizes = [(rng.randrange(1, 9999), rng.randrange(1, 9999), i % 3)
                 for i in range(40)]  # fmt: skip
        view = make_view(sizes)
        for _ in range(300):
            need = Resources(
                rng.randrange(1, 4000), rng.randrange(1, 4000), rng.choice((0, 0, 1))
            )
            fits = any(need.fits_in(w.free) for w in view.workers_by_id.values())
            placed = place(policy_class(), view, need)
            assert (placed is not None) == fits
            for worker in view.workers_by_id.values():
                assert Resources().fits_in(worker.free)
            if rng.random() < 0.2:
                worker = view.workers_by_id[f"w{rng.randrange(40)}"]
                worker.free = worker.capacity
                view.put(worker)

    def test_service_spreads_over_racks(self):
        """Guards against a service that one rack failure takes down."""
        view = make_view([(8000, 8000, 0)] * 8)
        racks, workers = {}, {}
        for _ in range(6):
            (worker_id,) = place(
                ServicePolicy(), view, Resources(1000, 1000),
                tasks_by_rack=racks, tasks_by_worker=workers,
            )  # fmt: skip
            rack_id = view.workers_by_id[worker_id].rack_id
            racks[rack_id] = racks.get(rack_id, 0) + 1
            workers[worker_id] = workers.get(worker_id, 0) + 1
        assert sorted(racks.values()) == [1, 1, 2, 2]
        assert set(workers.values()) == {1}

    def test_batch_keeps_accelerators(self):
        """Guards against accelerators blocked by work that does not need them."""
        view = make_view([(4000, 4000, 2), (4000, 4000, 0)])
        need = Resources(1000, 1000)
        assert [place(BatchPolicy(), view, need)[0] for _ in range(4)] == ["w1"] * 4
        assert place(BatchPolicy(), view, need) == ("w0",)

    def test_gang_is_all_or_nothing(self):
        """Guards against a gang of which only a part is placed."""
        view = make_view([(4000, 4000, 0)] * 2)
        need = Resources(2000, 1000)
        assert place(GangPolicy(), view, need, tasks=5) is None
        assert len(place(GangPolicy(), view, need, tasks=4)) == 4

    @pytest.mark.parametrize("policy_class", [ServicePolicy, BatchPolicy, GangPolicy])
    def test_failed_workers_are_used_only_if_no_other_fits(self, policy_class):
        """Guards against retries that all go to the worker that failed."""
        view = make_view([(1000, 1000, 0)] * 2)
        for expected in ("w1", "w0"):
            chosen = place(policy_class(), view, Resources(800, 800), avoided={"w0"})
            assert chosen == (expected,)
