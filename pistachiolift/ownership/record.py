"""The partition record in the store."""

import msgspec

from ..common import Epoch, InstanceId, MalformedMessageError

__all__ = ["PartitionRecord"]

_LIMIT_BYTES = 4096


class PartitionRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Owner and successors of a partition.

    Records are never deleted, because the epoch must keep increasing.

    :param owner: the owner, or ``None`` if no instance owns the partition.
    :param epoch: increases with every change, starting at 1.
    :param successors: instances that may take over as soon as the owner's lease has
        expired, in this order; at most two.
    """

    owner: InstanceId | None
    epoch: Epoch
    successors: tuple[InstanceId, ...] = ()

    def to_bytes(self) -> bytes:
        """Encode the record as JSON for the store."""
        return msgspec.json.encode(self)

    @classmethod
    def from_bytes(cls, data: bytes) -> "PartitionRecord":
        """Decode a value of the store.

        :raises MalformedMessageError: if the value is not a record.
        """
        if len(data) > _LIMIT_BYTES:
            raise MalformedMessageError(
                f"partition record has {len(data)} bytes; at most {_LIMIT_BYTES} "
                "are allowed"
            )
        try:
            return msgspec.json.decode(data, type=cls)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise MalformedMessageError(
                f"partition record does not decode: {error}"
            ) from error

    @property
    def members(self) -> tuple[InstanceId, ...]:
        """The owner, if any, and the successors."""
        return self.successors if self.owner is None else (self.owner, *self.successors)
