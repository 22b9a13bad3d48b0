"""Tests of the storage protocol under conflicts, outages and lost answers."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pistachiolift import settings as api
from pistachiolift.common import (
    OutcomeUnknownError,
    PistachioliftError,
    StoreUnavailableError,
    ValueTooLargeError,
)
from pistachiolift.settings import repository
from pistachiolift.settings.tests.fake_store import (
    FakeStore,
    make_change,
    new_repository,
    run,
    run_all,
)


def change(change_id, value, *, base, path="ikeja", key="weight"):
    return make_change(change_id, (api.EditAction.SET, path, key, value), base=base)


class ReportsLostAnswerAsFailure(api.SettingsRepository):
    """Deliberately broken: reports a lost answer as failure at once."""

    async def _attempt_commit(self, change, progress):
        try:
            return await super()._attempt_commit(change, progress)
        except StoreUnavailableError as error:
            raise ValueTooLargeError("wrongly reported as not stored") from error

    def _outcome_unknown(self, change, unanswered):
        return ValueTooLargeError("wrongly reported as not stored")


class ForgetsLostWrite(api.SettingsRepository):
    """Deliberately broken: gives up without saying that the outcome is unknown."""

    def _outcome_unknown(self, change, unanswered):
        return StoreUnavailableError("wrongly reported as not stored")


class OverwritingStore(FakeStore):
    """Deliberately broken: ignores the expected version of the tree."""

    def _write(self, key, value, expected_version):
        return super()._write(
            key, value, None if key == api.TREE_KEY else expected_version
        )


BROKEN = [
    (ReportsLostAnswerAsFailure, FakeStore),
    (ForgetsLostWrite, FakeStore),
    (api.SettingsRepository, OverwritingStore),
]
OUTCOMES = ["ok"] * 12 + ["drop", "lose", "lose", "delay"]


async def operate(name, repo, rng, results):
    """Commit three changes and repeat those whose outcome is unknown."""
    for number in range(3):
        try:
            base = (await repo.load()).revision
        except StoreUnavailableError:
            continue
        wanted = change(
            f"{name}-{number}",
            rng.randint(1, 1000),
            base=base,
            path=rng.choice(["ikeja", "lekki", "lekki/velocity"]),
            key=rng.choice(["weight", "max_queue"]),
        )
        for _ in range(rng.choice([1, 2])):
            try:
                committed = await repo.commit(wanted)
                results[wanted.change_id] = committed.revision
                break
            except OutcomeUnknownError:
                results[wanted.change_id] = "unknown"
            except PistachioliftError as error:
                # An earlier try of unknown outcome may still take effect.
                if results.get(wanted.change_id) != "unknown":
                    results[wanted.change_id] = error
                break


def check_concurrent_operators(seed, repository_class, store_class):
    """Compare the results that operators got with the final content of the store."""
    rng = random.Random(seed)
    down = [0]

    def fault():
        # Long outages outlast a commit; short ones do not.
        if down[0] == 0 and rng.random() < 0.003:
            down[0] = 400
        if down[0]:
            down[0] -= 1
            return "drop"
        if rng.random() < 0.1:
            store.flush()
        return rng.choice(OUTCOMES)

    store = store_class(fault)
    results = {}
    running = []
    for name in ("a", "b", "c", "d"):
        repo = new_repository(store, rng=rng, repository_class=repository_class)
        running.append(operate(name, repo, rng, results))
    run_all(running, rng)
    store.flush()
    store.fault = lambda: "ok"
    repo = new_repository(store)
    tree = run(repo.load())
    entries = run(repo.history(1000))
    revision_by_id = {each.change_id: each.revision for each in entries}
    assert [each.revision for each in entries] == list(range(tree.revision, 0, -1))
    assert len(revision_by_id) == len(entries), "a change was applied twice"
    for change_id, result in results.items():
        if isinstance(result, PistachioliftError):
            assert change_id not in revision_by_id, "a refused change is stored"
        elif result != "unknown":
            assert revision_by_id.get(change_id) == result, "a change was lost"
    replayed = {}
    for entry in reversed(entries):
        for each in entry.changes:
            if each.key:
                replayed[each.path, each.key] = each.new
    stored = {(p, k): v for p, b in tree.values_by_path.items() for k, v in b.items()}
    assert replayed == stored
    return results


class TestConcurrentOperators:
    @settings(derandomize=True, deadline=None, max_examples=150, database=None)
    @given(st.integers(0, 2**32))
    def test_acknowledged_changes_are_kept(self, seed):
        """Guards against lost, doubled and wrongly refused changes."""
        check_concurrent_operators(seed, api.SettingsRepository, FakeStore)

    def test_all_kinds_of_results_occur(self):
        """Guards against a scenario in which faults have no effect."""
        kinds = set()
        for seed in range(60):
            found = check_concurrent_operators(seed, api.SettingsRepository, FakeStore)
            kinds |= {type(each).__name__ for each in found.values()}
        assert {"int", "str", "SettingConflictError"} <= kinds

    @pytest.mark.parametrize("classes", BROKEN)
    def test_check_detects_broken_code(self, classes):
        """Guards against a check that passes for broken code as well."""
        with pytest.raises(AssertionError):
            for seed in range(150):
                check_concurrent_operators(seed, *classes)


class TestCommit:
    def test_lost_answer_is_looked_up(self):
        """Guards against a stored change that is reported as failed."""
        outcomes = iter(["ok", "lose"])
        store = FakeStore(lambda: next(outcomes, "ok"))
        done = run(new_repository(store).commit(change("a", 5, base=0)))
        assert (done.revision, done.repeated) == (1, False)
        assert run(new_repository(store).load()).revision == 1

    def test_lost_answer_is_found_in_history(self, monkeypatch):
        """Guards against forgetting a change that left the list of recent ones."""
        monkeypatch.setattr("pistachiolift.settings.changes.RECENT_LIMIT", 2)
        outcomes = iter(["ok", "lose"])
        store = FakeStore(lambda: next(outcomes, "ok"))
        slow = new_repository(store).commit(change("a", 5, base=0))
        while store.entries_by_key == {}:
            slow.send(None)
        other = new_repository(store)
        for base in range(1, 6):
            run(other.commit(change(f"b{base}", base, base=base, path="lekki")))
        assert run(slow).revision == 1

    def test_long_outage_after_write_is_unknown(self):
        """Guards against reporting failure for a write that took effect."""
        outcomes = iter(["ok", "lose"])
        store = FakeStore(lambda: next(outcomes, "drop"))
        with pytest.raises(OutcomeUnknownError):
            run(new_repository(store).commit(change("a", 5, base=0)))
        store.fault = lambda: "ok"
        again = run(new_repository(store).commit(change("a", 5, base=0)))
        assert (again.revision, again.repeated) == (1, True)

    def test_outage_before_write_is_a_refusal(self):
        store = FakeStore(lambda: "drop")
        with pytest.raises(StoreUnavailableError):
            run(new_repository(store).commit(change("a", 5, base=0)))

    def test_tree_above_limit_is_refused(self):
        """Guards against a tree that cannot be stored any more."""
        paths = [f"c{number:05}-{'x' * 50}" for number in range(15_000)]
        edits = [(api.EditAction.SET, path, "weight", 1) for path in paths]
        big = make_change("a", *edits, base=0)
        with pytest.raises(ValueTooLargeError):
            run(new_repository(FakeStore()).commit(big))

    def test_size_stays_bounded(self, monkeypatch):
        """Guards against growth of the tree value and of the history."""
        monkeypatch.setattr(repository, "HISTORY_LIMIT", 50)
        monkeypatch.setattr("pistachiolift.settings.changes.RECENT_LIMIT", 20)
        rng = random.Random(3)
        store = FakeStore(lambda: rng.choice(["ok"] * 20 + ["drop", "lose"]))
        repo = new_repository(store)
        sizes, counts = [], []
        for base in range(400):
            run(repo.commit(change(f"id{base:04}", 100 + base, base=base)))
            sizes.append(len(store.entries_by_key[api.TREE_KEY].value))
            counts.append(len(store.entries_by_key))
        assert max(sizes[100:]) <= max(sizes[30:100]) + 50
        # The tree, the history, and a few entries whose deletion failed for now.
        assert max(counts) <= 1 + 50 + 10
        store.fault = lambda: "ok"
        assert [each.revision for each in run(repo.history(30))][-1] == 371
