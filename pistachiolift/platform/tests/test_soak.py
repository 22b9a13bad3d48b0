"""A short soak with fixed seeds, which include seeds that have failed before."""

import pytest

from .soak.run import run_soak

# Seeds that have failed, with the fault that they found.
REGRESSIONS = [
    # A ledger write was rejected because its owner had claimed again, but counted as
    # durable. Ends were acknowledged that were not in the ledger, and tasks ran again.
    3,
]

DURATION_S = 12.0


@pytest.mark.parametrize("seed", [1, *REGRESSIONS])
def test_promises_hold_under_faults(seed, tmp_path):
    assert run_soak(seed, DURATION_S, tmp_path) == []


def test_promises_hold_under_faults_with_customers(tmp_path):
    """Guards also against runs above a cap, and runs for keys that were replaced."""
    assert run_soak(1, DURATION_S, tmp_path, customers=True) == []


def test_promises_hold_under_faults_with_two_owners(tmp_path):
    assert run_soak(1, DURATION_S, tmp_path, partitions=2) == []


def test_promises_hold_while_workers_start_again(tmp_path):
    """Guards against delayed starts that run at the next process of their worker."""
    assert run_soak(300, DURATION_S, tmp_path, restarts=True) == []
