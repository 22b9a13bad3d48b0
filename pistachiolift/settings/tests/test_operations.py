"""Tests of the operators' interface and of TOML import and export."""

import pathlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pistachiolift import settings as api
from pistachiolift.common import ManualClock, NotFoundError, decode_json, encode_json
from pistachiolift.settings.tests import fake_store as fake


class Operator:
    """An operator at one instance."""

    def __init__(self):
        self.store = fake.FakeStore()
        self.view = api.SettingsView()
        repository = fake.new_repository(self.store)
        clock = ManualClock()
        self.operations = api.SettingsOperations(self.view, repository, clock=clock)

    def set(self, path, key, value, **fields):
        request = api.SetRequest(path=path, key=key, value=value, **fields)
        return fake.run(self.operations.set(request, author="ada"))


@pytest.fixture
def operator():
    return Operator()


class TestOperations:
    def test_set_get_unset(self, operator):
        answer = operator.set("ikeja", "weight", 7, change_id="one")
        assert (answer.revision, operator.view.revision) == (1, 1)
        operator.set("*/velocity", "max_run_s", 90)
        found = operator.operations.get(api.GetRequest(path="ikeja/velocity"))
        by_key = {each.key: each for each in found.values}
        assert (by_key["weight"].value, by_key["weight"].level) == (
            7,
            api.Level.CUSTOMER,
        )
        assert by_key["max_run_s"].source_path == "*/velocity"
        assert "quota_slots" not in by_key
        root = operator.operations.get(api.GetRequest(key="weight"))
        assert root.branches == ("*/velocity", "ikeja")
        request = api.UnsetRequest(path="ikeja", key="weight")
        fake.run(operator.operations.unset(request, author="ada"))
        found = operator.operations.get(api.GetRequest(path="ikeja", key="weight"))
        assert found.values[0].level is api.Level.DEFAULT
        with pytest.raises(NotFoundError):
            operator.operations.get(api.GetRequest(path="nobody"))

    def test_repeated_request_is_answered_again(self, operator):
        """Guards against applying a change twice when a client repeats it."""
        first = operator.set("ikeja", "weight", 7, change_id="one")
        operator.set("ikeja", "weight", 8)
        again = operator.set("ikeja", "weight", 7, change_id="one")
        assert (again.revision, again.repeated) == (first.revision, True)
        assert again.changes == first.changes
        assert operator.view.tree.resolve("ikeja", "weight").value == 8

    def test_stale_base_conflicts(self, operator):
        operator.set("ikeja", "weight", 7)
        with pytest.raises(api.SettingConflictError):
            operator.set("ikeja", "weight", 8, base_revision=0)

    def test_dry_run_changes_nothing(self, operator):
        answer = operator.set("ikeja", "weight", 7, dry_run=True)
        assert [(c.path, c.key, c.new) for c in answer.changes] == [
            ("ikeja", "", True),
            ("ikeja", "weight", 7),
        ]
        assert operator.store.entries_by_key == {}
        with pytest.raises(api.InvalidSettingError):
            operator.set("ikeja", "weight", 0, dry_run=True)

    def test_diff_and_history(self, operator):
        for value in (7, 8, 9):
            operator.set("ikeja", "weight", value)
        found = fake.run(operator.operations.diff(api.DiffRequest(from_revision=1)))
        assert [(c.old, c.new) for c in found.changes] == [(7, 9)]
        assert found.complete
        request = api.HistoryRequest(limit=2, before_revision=3)
        entries = fake.run(operator.operations.history(request)).entries
        assert [each.revision for each in entries] == [2, 1]

    def test_import_keeps_changes_of_others(self, operator):
        """Guards against an import that silently reverts changes made since."""
        operator.set("ikeja", "weight", 7)
        text = operator.operations.export_toml().toml.replace("7", "6")
        request = api.ImportRequest(toml=text, change_id="import")
        answer = fake.run(operator.operations.import_toml(request, author="bo"))
        assert [(c.key, c.new) for c in answer.changes] == [("weight", 6)]
        again = fake.run(operator.operations.import_toml(request, author="bo"))
        assert again.repeated
        request = api.ImportRequest(toml=text.replace("6", "5"))
        with pytest.raises(api.SettingConflictError):
            fake.run(operator.operations.import_toml(request, author="bo"))

    def test_propagation(self, operator):
        operator.set("ikeja", "weight", 7)
        operator.view.record_report("b", 0)
        answer = operator.operations.propagation(1, ["b"])
        assert (answer.in_force, answer.behind) == (False, ("b",))
        operator.view.record_report("b", 1)
        assert operator.operations.propagation(1, ["b"]).in_force

    def test_messages_pass_through_json(self, operator):
        """Guards against an omitted expected value that becomes null."""
        edit = api.Edit(api.EditAction.CREATE, "lekki")
        for request in (
            api.SetRequest(path="a", key="weight", value=1),
            api.SetRequest(path="a", key="weight", value=1, expected=None),
            api.ChangeRequest(edits=(edit,)),
        ):
            data = encode_json(request)
            assert decode_json(data, type(request), limit_bytes=1000) == request
        answer = operator.set("ikeja", "data_centres", ["Ikeja"])
        assert b'"Ikeja"' in encode_json(answer)


# Keeps a change valid that has no other edits.
NO_EDIT = (api.EditAction.CREATE, "")
NAMES = st.from_regex(r"\A[A-Za-z0-9][A-Za-z0-9_.-]{0,5}\Z")
VALUES = st.fixed_dictionaries(
    {},
    optional={
        "weight": st.integers(1, 1000),
        "max_run_s": st.floats(0.01, 86400),
        "accepting": st.booleans(),
        "urgency": st.sampled_from(["urgent", "normal", "deferrable"]),
        "data_centres": st.lists(NAMES, max_size=3, unique=True),
    },
)


@st.composite
def trees(draw):
    values_by_path = {"": draw(VALUES)}
    for kind in draw(st.lists(NAMES, max_size=2)):
        values_by_path[f"*/{kind}"] = draw(VALUES)
    for customer in draw(st.lists(NAMES, max_size=2)):
        values_by_path[customer] = draw(VALUES)
        for kind in draw(st.lists(NAMES, max_size=2)):
            values_by_path[f"{customer}/{kind}"] = draw(VALUES)
    return api.SettingsTree(draw(st.integers(0, 10**6)), values_by_path)


class TestToml:
    @settings(derandomize=True, deadline=None, max_examples=100, database=None)
    @given(trees(), trees())
    def test_round_trip(self, tree, other):
        """Guards against values that an export drops or changes."""
        base, values_by_path = api.from_toml(api.to_toml(tree))
        assert (base, values_by_path) == (tree.revision, dict(tree.values_by_path))
        edits = api.edits_between(other, values_by_path)
        fields = [(each.action, each.path, each.key, each.value) for each in edits]
        imported = fake.make_change("a", *fields, NO_EDIT, base=other.revision)
        assert api.apply(other, imported).values_by_path == values_by_path

    def test_table_names_are_no_keys(self):
        """Guards against a new key that is also the name of a table in the file."""
        assert not {"revision", "kind", "customer"} & api.SCHEMA.specs_by_key.keys()


class TestDocumentation:
    def test_every_key_is_described(self):
        """Guards against a key, default or range that the page does not show."""
        root = pathlib.Path(__file__).parents[3]
        text = (root / "docs" / "settings.md").read_text()
        for spec in api.SCHEMA.specs_by_key.values():
            default = encode_json(spec.default).decode()
            row = (
                f"| `{spec.name}` | {spec.unit or '-'} | {spec.value_type.allowed} "
                f"| `{default}` | {spec.help} |\n"
            )
            assert row in text
