"""A new configuration at instances that do not reach the store, with real processes."""

import time

import pytest

from .soak.run import INSTANCES, SoakCell
from .standin_platform import configuration

# Requirement C3 (ConfigApplyMs).
APPLY_LIMIT_S = 3.0
UNKNOWN_JOB_PATH = "/urgent/00000000000000f1"


@pytest.fixture
def cell(tmp_path):
    with SoakCell(tmp_path, partitions=1) as running:
        running.wait_until(lambda: running.owner() is not None, "owner", 10)
        yield running


class TestInstancesWithoutStore:
    """Guards against removed keys that are accepted while the store is away."""

    @pytest.mark.parametrize("cut_off", ["entry", "owner"])
    def test_they_ask_for_keys_in_time(self, cell, cut_off):
        owner = cell.owner()
        index = owner if cut_off == "owner" else (owner + 1) % INSTANCES
        for each in range(INSTANCES):
            assert cell.call(each, "GET", UNKNOWN_JOB_PATH)[0] == 410
        cell.set_link(cell.store_links[index], "silent")
        time.sleep(0.2)
        cell.control("/item/op/config", {**configuration(4), "Tenants": []})
        cell.wait_until(
            lambda: all(
                cell.call(each, "GET", UNKNOWN_JOB_PATH)[0] == 401
                for each in range(INSTANCES)
            ),
            "configuration at all instances",
            APPLY_LIMIT_S,
        )
        # Log lines are written in the background.
        cell.wait_until(
            lambda: any(
                "event=configuration_in_force" in line
                and "config=4" in line
                and "source=node-" in line
                for line in self.log_lines(cell, index)
            ),
            "source of the configuration",
            10,
        )

    @staticmethod
    def log_lines(cell, index):
        return (cell.directory / f"instance-{index}.log").read_text().splitlines()


class TestRoutesThatAreAdded:
    # Guards against a route that was served for a call of another instance, and is
    # refused by the owner itself a moment later.
    def test_the_owner_serves_one_once_it_has_carried_out_a_call_of_it(self, cell):
        owner = cell.owner()
        entry = (owner + 1) % INSTANCES
        path = "/added/00000000000000f1"
        added = configuration(4)
        added["Routes"].append(
            {**added["Routes"][0], "Name": "added", "Prefix": "/added/"}
        )
        cell.set_link(cell.store_links[owner], "silent")
        cell.control("/item/op/config", added)
        cell.wait_until(
            lambda: cell.call(entry, "GET", path)[0] == 410,
            "the route at the entry instance",
            APPLY_LIMIT_S,
        )
        assert cell.call(owner, "GET", path)[0] != 404
