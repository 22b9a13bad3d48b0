"""Reload of settings that change while an instance runs."""

import msgspec
import pytest
from twisted.internet.task import Clock as ReactorClock

from pistachiolift.common import Metrics
from pistachiolift.node.settings import NodeSettings, read_settings
from pistachiolift.node.settings_file import CHECK_INTERVAL_S, SettingsFile

SETTINGS = NodeSettings(
    instance_id="n1",
    ip="127.0.0.1",
    zone="z",
    caller_address="127.0.0.1:1001",
    ready_address="127.0.0.1:1002",
    peer_ports=(2000, 2010),
    store_address="127.0.0.1:1003",
)


class Harness:
    """A settings file and the settings applied from it."""

    def __init__(self, path):
        self.path = path
        self.write()
        self.reactor = ReactorClock()
        self.applied = []
        self.file = SettingsFile(
            self.reactor,
            path,
            read_settings(path),
            metrics=Metrics(),
            on_changed=self.applied.append,
        )
        self.file.start()

    def write(self, **changes):
        settings = msgspec.structs.replace(SETTINGS, **changes)
        self.path.write_bytes(msgspec.json.encode(settings))


@pytest.fixture
def harness(tmp_path):
    return Harness(tmp_path / "node.json")


class TestSettingsFile:
    def test_a_change_is_applied_on_a_signal(self, harness):
        harness.write(grace_s=3.0)
        harness.file.check()
        assert [settings.grace_s for settings in harness.applied] == [3.0]

    def test_a_change_without_a_signal_is_applied(self, harness):
        harness.write(grace_s=3.0)
        harness.reactor.advance(CHECK_INTERVAL_S)
        assert len(harness.applied) == 1
        harness.reactor.advance(CHECK_INTERVAL_S)
        assert len(harness.applied) == 1

    @pytest.mark.parametrize("text", ["", "{", '{"instance_id": 4}'])
    def test_a_file_that_cannot_be_read_changes_nothing(self, harness, text):
        harness.path.write_text(text)
        harness.file.check()
        assert not harness.applied
        harness.write(grace_s=3.0)
        harness.file.check()
        assert len(harness.applied) == 1

    def test_a_value_out_of_range_changes_nothing(self, harness):
        harness.write(grace_s=4.0)
        text = harness.path.read_text().replace("4.0", "-1")
        harness.path.write_text(text)
        harness.file.check()
        assert not harness.applied

    def test_fields_that_need_a_restart_keep_their_values(self, harness):
        harness.write(store_address="127.0.0.1:9", keep_final_s=60.0)
        harness.file.check()
        (settings,) = harness.applied
        assert settings.store_address == SETTINGS.store_address
        assert settings.keep_final_s == 60.0
