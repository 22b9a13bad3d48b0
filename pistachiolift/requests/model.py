"""Request specifications, the policies that apply to them and their source."""

from abc import ABC, abstractmethod
from collections.abc import Mapping

import msgspec

from ..common import (
    CustomerId,
    DataCentreId,
    InstanceId,
    KindId,
    RequestId,
    Urgency,
)

__all__ = ["ClassShares", "KindPolicy", "PolicySource", "RequestSpec", "Urgency"]


class RequestSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Properties of a request at its home; the body stays at the entry instance.

    :param deadline_s: latest start, on the monotonic clock of the home, in seconds.
    :param repeatable: whether a second attempt may follow one that may have run.
    :param body_digest: digest of the body, to detect an identifier that is reused with
        other content.
    :param body_bytes: size of the body.
    :param entry_id: the entry instance that holds the caller's connection.
    :param max_run_s: run limit of one attempt, in seconds.
    :param resubmitted: whether the caller has sent the identifier before.
    """

    request_id: RequestId
    customer_id: CustomerId
    kind_id: KindId
    deadline_s: float
    repeatable: bool
    body_digest: str
    body_bytes: int
    entry_id: InstanceId
    max_run_s: float
    resubmitted: bool = False


class KindPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one kind of one customer.

    :param weight: share among the kinds of the customer, 1 to 1000.
    :param max_queue: largest number of queued requests of the kind.
    :param max_run_s: run limit of one attempt, in seconds.
    :param retry_ratio: retries allowed per first attempt, 0 to 1.
    :param max_attempts: attempts allowed per request, 1 or more.
    :param data_centres: where the kind may run; empty means everywhere.
    :param accepting: whether new requests are accepted.
    """

    urgency: Urgency
    weight: int
    max_queue: int
    max_run_s: float
    retry_ratio: float
    max_attempts: int
    data_centres: tuple[DataCentreId, ...] = ()
    accepting: bool = True


class ClassShares(msgspec.Struct, frozen=True, kw_only=True):
    """How the slots are divided among the urgency classes.

    :param min_share_by_urgency: fraction of the slots that a class keeps while it has
        work queued; 0 means that the class has no guarantee.
    :param reserved_urgent_slots: fraction of the slots reserved for urgent work.
    """

    min_share_by_urgency: Mapping[Urgency, float]
    reserved_urgent_slots: float


class PolicySource(ABC):
    """Source of settings; callers look them up on every use and keep no copies."""

    @abstractmethod
    def kind_policy(self, customer_id: CustomerId, kind_id: KindId) -> KindPolicy:
        """Return the settings of a kind."""

    @abstractmethod
    def customer_weight(self, customer_id: CustomerId) -> int:
        """Return the weight of a customer among all customers, 1 to 1000."""

    @abstractmethod
    def class_shares(self) -> ClassShares:
        """Return how the slots are divided among the urgency classes."""

    @abstractmethod
    def quota_slots(self, customer_id: CustomerId) -> int:
        """Return the slots that a customer may use at once; 0 means unlimited."""
