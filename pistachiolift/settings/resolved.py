"""Typed results of resolving the settings tree."""

import msgspec

from ..common import CustomerId, DataCentreId, KindId, Urgency
from .paths import Level

__all__ = [
    "CellSettings",
    "CustomerSettings",
    "KindSettings",
    "ResolvedValue",
    "Urgency",
]


class ResolvedValue(msgspec.Struct, frozen=True):
    """A value with its provenance.

    :param level: level that sets the value; ``Level.DEFAULT`` if none does.
    :param source_path: path that sets the value; ``None`` for the default.
    """

    key: str
    value: object
    level: Level
    source_path: str | None
    unit: str = ""


class KindSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one kind of one customer; the schema describes the fields."""

    customer_id: CustomerId
    kind_id: KindId
    urgency: Urgency
    weight: int
    max_queue: int
    max_run_s: float
    max_body_bytes: int
    repeatable: bool
    retry_ratio: float
    max_attempts: int
    default_deadline_s: float
    data_centres: tuple[DataCentreId, ...]
    accepting: bool

    def allows_data_centre(self, data_centre_id: DataCentreId) -> bool:
        """Whether the work may run in a data centre."""
        return not self.data_centres or data_centre_id in self.data_centres


class CustomerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one customer; a quota of 0 is unlimited.

    :param weight: weight of the customer in the delivery round.
    """

    customer_id: CustomerId
    weight: int
    accepting: bool
    quota_slots: int
    quota_cpu_milli: int
    quota_memory_mb: int
    quota_accelerators: int
    token_sha256: tuple[str, ...]


class CellSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the whole cell."""

    partitions_per_data_centre: int
    urgent_min_share: float
    normal_min_share: float
    deferrable_min_share: float
    reserved_urgent_slots: float
    dedup_window_s: float
    operator_token_sha256: tuple[str, ...]

    def min_share(self, urgency: Urgency) -> float:
        """Return the minimum share of slots of a class, as a fraction."""
        return {
            Urgency.URGENT: self.urgent_min_share,
            Urgency.NORMAL: self.normal_min_share,
            Urgency.DEFERRABLE: self.deferrable_min_share,
        }[urgency]
