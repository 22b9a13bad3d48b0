"""Tests of conflict detection and of applying changes."""

import pytest

from pistachiolift import settings as api
from pistachiolift.common import (
    IdempotencyMismatchError,
    InvalidInputError,
    NotFoundError,
)
from pistachiolift.settings import changes
from pistachiolift.settings.tests.fake_store import make_change

SET, UNSET, CREATE, REMOVE = api.EditAction


@pytest.fixture
def tree():
    return api.apply(
        api.SettingsTree(0, {"ikeja": {"max_queue": 5}}),
        make_change("first", (SET, "ikeja", "weight", 7), base=0),
    )


class TestConflicts:
    def test_same_key_conflicts(self, tree):
        with pytest.raises(api.SettingConflictError) as caught:
            api.apply(tree, make_change("b", (SET, "ikeja", "weight", 8), base=0))
        assert (caught.value.path, caught.value.key) == ("ikeja", "weight")
        assert "'ada'" in str(caught.value)

    def test_other_key_and_path_merge(self, tree):
        edits = (SET, "ikeja", "max_queue", 9), (SET, "lekki", "weight", 8)
        merged = api.apply(tree, make_change("b", *edits, base=0))
        assert merged.values_by_path["ikeja"] == {"weight": 7, "max_queue": 9}

    @pytest.mark.parametrize(
        ("first", "second"),
        [
            ((REMOVE, "ikeja"), (SET, "ikeja", "weight", 8)),
            ((REMOVE, "ikeja"), (CREATE, "ikeja")),
            ((SET, "ikeja", "weight", 8), (REMOVE, "ikeja")),
            ((UNSET, "ikeja", "weight"), (SET, "ikeja", "weight", 8)),
        ],
    )
    def test_removal_conflicts(self, tree, first, second):
        """Guards against an edit that recreates a customer removed concurrently."""
        newer = api.apply(tree, make_change("b", first, base=1))
        with pytest.raises(api.SettingConflictError):
            api.apply(newer, make_change("c", second, base=1))

    def test_expected_value_decides(self, tree):
        matching = make_change("b", (SET, "ikeja", "weight", 8, 7))
        assert api.apply(tree, matching).values_by_path["ikeja"]["weight"] == 8
        with pytest.raises(api.SettingConflictError):
            api.apply(tree, make_change("c", (SET, "ikeja", "weight", 8, None)))

    def test_forgotten_base_conflicts(self, tree, monkeypatch):
        """Guards against treating keys outside the change log as unchanged."""
        monkeypatch.setattr(changes, "RECENT_LIMIT", 1)
        newer = api.apply(tree, make_change("b", (SET, "lekki", "weight", 8), base=1))
        with pytest.raises(api.SettingConflictError):
            api.apply(newer, make_change("c", (SET, "epe", "weight", 8), base=0))
        api.apply(newer, make_change("c", (SET, "epe", "weight", 8), base=1))

    def test_large_change_conflicts_with_older_base(self, tree):
        edits = [(SET, f"c{n}", "weight", 1) for n in range(300)]
        newer = api.apply(tree, make_change("b", *edits, base=1))
        with pytest.raises(api.SettingConflictError):
            api.apply(newer, make_change("c", (SET, "epe", "weight", 8), base=1))


class TestApply:
    def test_repeated_change_has_no_effect(self, tree):
        same = make_change("first", (SET, "ikeja", "weight", 7), base=0)
        assert api.apply(tree, same) is tree

    def test_reused_identifier_is_refused(self, tree):
        with pytest.raises(IdempotencyMismatchError):
            api.apply(tree, make_change("first", (SET, "ikeja", "weight", 8), base=1))

    def test_unset_keeps_the_customer(self, tree):
        """Guards against removing a customer together with its last value."""
        edits = (UNSET, "ikeja", "weight"), (UNSET, "ikeja", "max_queue")
        assert (
            "ikeja" in api.apply(tree, make_change("b", *edits, base=1)).values_by_path
        )

    @pytest.mark.parametrize(
        ("error", "edit"),
        [
            (api.InvalidSettingError, (SET, "ikeja", "weight", 0)),
            (api.InvalidSettingError, (SET, "nobody/velocity", "weight", 1)),
            (api.InvalidSettingError, (SET, "", "urgent_min_share", 0.9)),
            (api.InvalidSettingError, (UNSET, "ikeja", "colour")),
            (NotFoundError, (REMOVE, "nobody")),
            (InvalidInputError, (SET, "ikeja", "weight", {1, 2})),
            (InvalidInputError, (SET, "ikeja", "weight", 2**70)),
        ],
    )
    def test_bad_edit_is_refused(self, tree, error, edit):
        with pytest.raises(error):
            api.apply(tree, make_change("b", edit, base=1))

    def test_change_without_base_or_expected_value_is_refused(self, tree):
        """Guards against blind writes, which would hide conflicts."""
        with pytest.raises(InvalidInputError):
            api.apply(tree, make_change("b", (SET, "ikeja", "weight", 8)))

    def test_keys_of_a_newer_release_are_kept(self):
        values = {"ikeja": {"colour": "red"}}
        tree = api.SettingsTree(1, values, allow_unknown=True)
        newer = api.apply(tree, make_change("b", (SET, "ikeja", "weight", 8), base=1))
        assert newer.values_by_path["ikeja"]["colour"] == "red"
        unset = make_change("c", (UNSET, "ikeja", "colour"), base=2)
        assert "colour" not in api.apply(newer, unset).values_by_path["ikeja"]

    def test_log_stays_bounded(self, tree):
        """Guards against large changes exceeding the size limit of the stored value."""
        for number in range(30):
            edits = [(SET, f"c{n}", "weight", number + 1) for n in range(150)]
            tree = api.apply(
                tree, make_change(f"b{number}", *edits, base=tree.revision)
            )
        pairs = sum(len(each.touched) for each in tree.log.recent)
        assert pairs <= changes.TOUCHED_LIMIT
        assert tree.log.last_entry.change_count == 150
