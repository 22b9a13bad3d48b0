"""Settings that change while an instance runs."""

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


class Bench:
    """A settings file and what is made of its changes."""

    def __init__(self, path):
        self.path = path
        self.write()
        self.reactor = ReactorClock()
        self.taken = []
        self.file = SettingsFile(
            self.reactor,
            path,
            read_settings(path),
            metrics=Metrics(),
            on_changed=self.taken.append,
        )
        self.file.start()

    def write(self, **changes):
        settings = msgspec.structs.replace(SETTINGS, **changes)
        self.path.write_bytes(msgspec.json.encode(settings))


@pytest.fixture
def bench(tmp_path):
    return Bench(tmp_path / "node.json")


class TestSettingsFile:
    def test_a_change_is_taken_at_a_signal(self, bench):
        bench.write(grace_s=3.0)
        bench.file.check()
        assert [settings.grace_s for settings in bench.taken] == [3.0]

    def test_a_change_without_a_signal_is_found(self, bench):
        bench.write(grace_s=3.0)
        bench.reactor.advance(CHECK_INTERVAL_S)
        assert len(bench.taken) == 1
        bench.reactor.advance(CHECK_INTERVAL_S)
        assert len(bench.taken) == 1

    @pytest.mark.parametrize("text", ["", "{", '{"instance_id": 4}'])
    def test_a_file_that_cannot_be_read_changes_nothing(self, bench, text):
        bench.path.write_text(text)
        bench.file.check()
        assert not bench.taken
        bench.write(grace_s=3.0)
        bench.file.check()
        assert len(bench.taken) == 1

    def test_a_value_out_of_range_changes_nothing(self, bench):
        bench.write(grace_s=4.0)
        text = bench.path.read_text().replace("4.0", "-1")
        bench.path.write_text(text)
        bench.file.check()
        assert not bench.taken

    def test_fields_of_the_start_keep_their_values(self, bench):
        bench.write(store_address="127.0.0.1:9", keep_final_s=60.0)
        bench.file.check()
        (settings,) = bench.taken
        assert settings.store_address == SETTINGS.store_address
        assert settings.keep_final_s == 60.0
