"""Tests of the schema, the tree and the resolution of values."""

import hashlib

import pytest

from pistachiolift import settings as api
from pistachiolift.common import NotFoundError

DIGEST = hashlib.sha256(b"token").hexdigest()


def sample_values():
    return {
        "": {"weight": 10, "max_queue": 500},
        "*/velocity": {"weight": 20, "urgency": "deferrable", "max_run_s": 60},
        "ikeja": {"weight": 30, "token_sha256": [DIGEST], "quota_slots": 4},
        "ikeja/velocity": {"weight": 40},
        "lekki": {},
        "lekki/check-in": {"urgency": "urgent", "data_centres": ["Lekki"]},
    }


class TestResolve:
    @pytest.mark.parametrize(
        ("path", "value", "source"),
        [
            ("", 10, ""),
            ("*/velocity", 20, "*/velocity"),
            ("ikeja", 30, "ikeja"),
            ("ikeja/velocity", 40, "ikeja/velocity"),
            ("lekki/velocity", 20, "*/velocity"),
            ("lekki/check-in", 10, ""),
        ],
    )
    def test_most_specific_branch_wins(self, path, value, source):
        """Guards against a wrong order of the levels."""
        found = api.SettingsTree(1, sample_values()).resolve(path, "weight")
        assert (found.value, found.source_path) == (value, source)

    def test_customer_overrides_kind_for_all(self):
        """Guards against */KIND taking precedence over CUSTOMER."""
        values = {"*/velocity": {"weight": 1}, "ikeja": {"weight": 2}}
        tree = api.SettingsTree(1, values)
        assert tree.resolve_kind("ikeja", "velocity").weight == 2

    def test_default_has_no_source(self):
        found = api.SettingsTree().resolve("", "dedup_window_s")
        assert (found.value, found.unit) == (600.0, "seconds")
        assert (found.level, found.source_path) == (api.Level.DEFAULT, None)

    def test_kind_settings_are_typed_and_cached(self):
        tree = api.SettingsTree(1, sample_values())
        kind = tree.resolve_kind("ikeja", "velocity")
        assert (kind.urgency, kind.max_run_s) == (api.Urgency.DEFERRABLE, 60.0)
        assert tree.resolve_kind("ikeja", "velocity") is kind
        checkin = tree.resolve_kind("lekki", "check-in")
        assert checkin.allows_data_centre("Lekki")
        assert not checkin.allows_data_centre("Ikeja")

    def test_unknown_names_are_refused(self):
        """Guards against path syntax in a caller's kind that selects another branch."""
        tree = api.SettingsTree(1, sample_values())
        for customer in ("nobody", "*", "", "ikeja/velocity"):
            with pytest.raises(NotFoundError):
                tree.resolve_kind(customer, "velocity")
        for kind in ("check-in", "", "../x"):
            with pytest.raises(NotFoundError):
                tree.resolve_kind("ikeja", kind)

    def test_customer_cell_and_tokens(self):
        tree = api.SettingsTree(1, sample_values())
        assert tree.resolve_customer("ikeja").quota_slots == 4
        assert tree.customer_of_token(DIGEST) == "ikeja"
        assert not tree.is_operator_token(DIGEST)
        assert tree.cell().min_share(api.Urgency.URGENT) == 0.3
        assert tree.customer_ids == ["ikeja", "lekki"]
        assert tree.kind_ids("lekki") == ["check-in", "velocity"]

    def test_tree_is_immutable(self):
        """Guards against a reader changing what other readers see."""
        tree = api.SettingsTree(1, sample_values())
        with pytest.raises(AttributeError):
            tree.revision = 2
        with pytest.raises(TypeError):
            tree.values_by_path["ikeja"]["weight"] = 1


class TestChecks:
    @pytest.mark.parametrize(
        ("key", "values"),
        {
            "weight": [0, 1001, True, 2.0, "1", None],
            "max_run_s": [float("nan"), float("inf"), 10**400, 0, True],
            "urgency": ["high", 1],
            "repeatable": [1, "true"],
            "data_centres": [["a", "a"], "Ikeja", [1], [""], ["a"] * 65],
            "operator_token_sha256": [[DIGEST.upper()], ["short"]],
            "token_sha256": [[DIGEST]],
            "urgent_min_share": [0.71, -0.1],
            "reserved_urgent_slots": [0.501],
            "colour": [1],
        }.items(),
    )
    def test_bad_value_is_refused(self, key, values):
        for value in values:
            with pytest.raises(api.InvalidSettingError):
                api.SettingsTree(1, {"": {key: value}})

    @pytest.mark.parametrize("path", ["a/b", "*", "a/b/c", "/b", "a/", "*/", "-a", "ä"])
    def test_bad_path_is_refused(self, path):
        with pytest.raises(api.InvalidSettingError):
            api.SettingsTree(1, {path: {"weight": 1}})

    def test_bad_level_is_refused(self):
        """Guards against a value at a level where no resolution uses it."""
        for path, key, value in (
            ("ikeja", "urgent_min_share", 0.1),
            ("*/velocity", "quota_slots", 1),
        ):
            with pytest.raises(api.InvalidSettingError):
                api.SettingsTree(1, {path: {key: value}})

    def test_error_names_path_key_value_and_range(self):
        with pytest.raises(api.InvalidSettingError) as caught:
            api.SCHEMA.check("ikeja", "weight", 1001)
        for part in ("'ikeja'", "'weight'", "1001", "from 1 to 1000"):
            assert part in str(caught.value)

    def test_error_does_not_show_secret(self):
        """Guards against a token, given instead of its digest, reaching a log."""
        with pytest.raises(api.InvalidSettingError) as caught:
            api.SCHEMA.check("ikeja", "token_sha256", ["hunter2"])
        assert "hunter2" not in str(caught.value)

    def test_shares_that_fill_the_cell_are_allowed(self):
        """Guards against refusing a sum that exceeds 1 only by a rounding error."""
        api.SettingsTree(1, {"": {"urgent_min_share": 0.7}})

    def test_token_of_two_customers_is_refused(self):
        """Guards against one customer's token acting for another."""
        branch = {"token_sha256": [DIGEST]}
        with pytest.raises(api.InvalidSettingError):
            api.SettingsTree(1, {"a": branch, "b": branch})
        with pytest.raises(api.InvalidSettingError):
            api.SettingsTree(1, {"": {"operator_token_sha256": [DIGEST]}, "b": branch})

    def test_text_of_operator(self):
        assert api.SCHEMA.parse_text("ikeja", "weight", "7") == 7
        assert api.SCHEMA.parse_text("ikeja", "accepting", "false") is False
        assert api.SCHEMA.parse_text("a", "data_centres", "Ikeja, Epe") == (
            "Ikeja",
            "Epe",
        )
        for key, text in (("weight", "x"), ("accepting", "no"), ("max_run_s", "nan")):
            with pytest.raises(api.InvalidSettingError):
                api.SCHEMA.parse_text("ikeja", key, text)

    def test_defaults_are_valid(self):
        for spec in api.SCHEMA.specs_by_key.values():
            assert spec.value_type.normalise(spec.default) == spec.default


class TestDiff:
    def test_lists_values_and_branches(self):
        old = api.SettingsTree(1, {"a": {"weight": 1}, "b": {}})
        new = api.SettingsTree(2, {"a": {"weight": 2}, "c": {"weight": 3}})
        assert [(c.path, c.key, c.old, c.new) for c in api.diff(old, new)] == [
            ("a", "weight", 1, 2),
            ("b", "", True, False),
            ("c", "", False, True),
            ("c", "weight", None, 3),
        ]
