"""Messages between instances of different versions."""

import msgspec

from pistachiolift.node.ownership import AUTHORITY_S
from pistachiolift.node.peer_messages import TakeOver


class TestVersions:
    def test_a_hand_over_by_an_earlier_version_waits_for_all_owners_before(self):
        """Guards against a rolling update in which no instance can hand over.

        The earlier version sends only the fence.
        """
        earlier = msgspec.msgpack.encode(["takeover", 7])
        message = msgspec.msgpack.decode(earlier, type=TakeOver)
        assert message == TakeOver(7, AUTHORITY_S)
