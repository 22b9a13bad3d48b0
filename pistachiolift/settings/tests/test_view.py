"""Tests of the view in force and of the decoders."""

import logging
import subprocess
import sys
import zlib

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from pistachiolift import settings as api
from pistachiolift.common import MalformedMessageError, PistachioliftError
from pistachiolift.settings.codec import decode_entry

FUZZ = settings(derandomize=True, deadline=None, max_examples=300, database=None)


def tree_at(revision):
    return api.SettingsTree(revision, {"ikeja": {"weight": revision % 1000 + 1}})


class RevertingView(api.SettingsView):
    """Deliberately broken: accepts every tree of another revision."""

    def _is_newer(self, revision):
        return revision != self.revision

    def _notify(self):
        for listener in self._listeners:
            listener(self._tree)


def check_never_reverts(offers, view_class):
    view = view_class()
    seen = []
    view.add_listener(lambda tree: seen.append(tree.revision))
    highest = 0
    for revision, form in offers:
        tree = tree_at(revision)
        if form == "tree":
            view.accept(tree)
        else:
            view.offer(
                (api.encode_tree if form == "store" else api.encode_tree_for_peers)(
                    tree
                )
            )
        assert view.revision >= highest, "the view went back"
        highest = max(highest, revision)
        assert view.revision == highest
        assert api.decode_tree(view.encoded).revision == highest
    assert seen == sorted(set(seen)), "a listener saw a revision twice or late"


OFFERS = st.lists(
    st.tuples(st.integers(1, 9), st.sampled_from(["tree", "store", "peer"]))
)


class TestView:
    @FUZZ
    @given(OFFERS)
    def test_never_reverts(self, offers):
        """Guards against putting stale or reordered trees in force."""
        check_never_reverts(offers, api.SettingsView)

    def test_check_detects_reverting_view(self):
        """Guards against a check that passes for broken code as well."""

        @FUZZ
        @given(OFFERS)
        def check(offers):
            check_never_reverts(offers, RevertingView)

        with pytest.raises(AssertionError):
            check()

    def test_failing_listener_does_not_stop_the_others(self, caplog):
        view, seen = api.SettingsView(), []

        def fail(tree):
            raise ValueError("broken listener")

        view.add_listener(fail)
        remove = view.add_listener(lambda tree: seen.append(tree.revision))
        with caplog.at_level(logging.CRITICAL):
            view.accept(tree_at(1))
            remove()
            view.accept(tree_at(2))
        assert (seen, view.revision) == ([1], 2)

    def test_listener_that_accepts_a_tree(self):
        """Guards against a later listener seeing revisions in the wrong order."""
        view, seen = api.SettingsView(), []
        view.add_listener(lambda tree: view.accept(tree_at(5)))
        view.add_listener(lambda tree: seen.append(tree.revision))
        view.accept(tree_at(1))
        assert seen == [1, 5]

    def test_reports_of_instances(self):
        view = api.SettingsView()
        for instance, revision in (("a", 4), ("a", 3), ("b", 2)):
            view.record_report(instance, revision)
        assert view.instances_behind(4, ["a", "b", "c"]) == ["b", "c"]
        view.retain_instances(["b"])
        assert view.reported_revision("a") is None


class TestDecoders:
    @FUZZ
    @given(st.binary(max_size=200), st.integers(0, 400), st.integers(0, 255))
    @example(b"\x91" * 100_000, 0, 0)
    def test_malformed_bytes_give_typed_errors(self, noise, position, byte):
        """Guards against malformed input that stops the process or is accepted."""
        stored, sent = (
            api.encode_tree(tree_at(3)),
            api.encode_tree_for_peers(tree_at(3)),
        )
        for good in (stored, sent):
            damaged = bytearray(good)
            damaged[position % len(good)] = byte
            for data in (noise, bytes(damaged), good[: position % len(good)]):
                for decode in (api.decode_tree, api.decode_revision, decode_entry):
                    try:
                        decode(data)
                    except MalformedMessageError:
                        pass
        damaged = bytearray(sent)
        damaged[-1 - position % 4] ^= byte or 1
        with pytest.raises(MalformedMessageError):
            api.SettingsView().offer(bytes(damaged))

    @FUZZ
    @given(st.text(max_size=80))
    @example("a=" + "[" * 5000)
    @example("weight=" + "9" * 5000)
    @example("[customer.ikeja]\nkind=1")
    @example('[customer."a/b"]')
    @example("revision=true")
    def test_malformed_toml_gives_typed_errors(self, text):
        try:
            api.from_toml(text)
        except PistachioliftError:
            pass

    def test_compressed_bomb_is_refused(self):
        """Guards against a small message that exhausts the memory."""
        with pytest.raises(MalformedMessageError):
            api.decode_tree(zlib.compress(bytes(50_000_000)))

    def test_valid_bytes_with_invalid_values_are_refused(self):
        data = api.encode_tree(tree_at(3)).replace(b"weight\x04", b"weight\x00")
        with pytest.raises(MalformedMessageError):
            api.decode_tree(data)


class TestImports:
    def test_package_needs_no_twisted(self):
        """Guards against a reactor being imported into the decision core."""
        code = "import sys, pistachiolift.settings; print('twisted' in sys.modules)"
        done = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        )
        assert done.stdout.strip() == "False"
