"""Request policies and job quotas from the settings in force."""

from ..common import CustomerId, KindId, PistachioliftError, Urgency
from ..home import UNLIMITED, JobQuotas
from ..jobs import Resources
from ..requests import ClassShares, KindPolicy, PolicySource
from ..settings import SettingsTree, SettingsView

__all__ = ["SettingsJobQuotas", "SettingsPolicies"]

# For kinds that are removed while requests of theirs are in flight.
REMOVED_KIND_POLICY = KindPolicy(
    urgency=Urgency.NORMAL,
    weight=1,
    max_queue=1,
    max_run_s=30.0,
    retry_ratio=0.0,
    max_attempts=1,
)


class SettingsPolicies(PolicySource):
    """Policies from the settings tree, cached for its current revision."""

    def __init__(self, view: SettingsView):
        self._view = view
        self._revision = -1
        self._shares: ClassShares | None = None
        self._policies_by_kind: dict[tuple[CustomerId, KindId], KindPolicy] = {}

    def _tree(self) -> SettingsTree:
        tree = self._view.tree
        if tree.revision != self._revision:
            self._revision = tree.revision
            self._shares = None
            self._policies_by_kind.clear()
        return tree

    def kind_policy(self, customer_id: CustomerId, kind_id: KindId) -> KindPolicy:
        """See :meth:`PolicySource.kind_policy`."""
        tree = self._tree()
        policy = self._policies_by_kind.get((customer_id, kind_id))
        if policy is None:
            policy = self._read_kind(tree, customer_id, kind_id)
            self._policies_by_kind[customer_id, kind_id] = policy
        return policy

    @staticmethod
    def _read_kind(
        tree: SettingsTree, customer_id: CustomerId, kind_id: KindId
    ) -> KindPolicy:
        try:
            kind = tree.resolve_kind(customer_id, kind_id)
        except PistachioliftError:
            return REMOVED_KIND_POLICY
        return KindPolicy(
            urgency=kind.urgency,
            weight=kind.weight,
            max_queue=kind.max_queue,
            max_run_s=kind.max_run_s,
            retry_ratio=kind.retry_ratio,
            max_attempts=kind.max_attempts,
            data_centres=kind.data_centres,
            accepting=kind.accepting,
        )

    def customer_weight(self, customer_id: CustomerId) -> int:
        """See :meth:`PolicySource.customer_weight`."""
        try:
            return self._tree().resolve_customer(customer_id).weight
        except PistachioliftError:
            return REMOVED_KIND_POLICY.weight

    def class_shares(self) -> ClassShares:
        """See :meth:`PolicySource.class_shares`."""
        tree = self._tree()
        if self._shares is None:
            cell = tree.cell()
            self._shares = ClassShares(
                min_share_by_urgency={u: cell.min_share(u) for u in Urgency},
                reserved_urgent_slots=cell.reserved_urgent_slots,
            )
        return self._shares

    def quota_slots(self, customer_id: CustomerId) -> int:
        """See :meth:`PolicySource.quota_slots`."""
        try:
            return self._tree().resolve_customer(customer_id).quota_slots
        except PistachioliftError:
            return 0


class SettingsJobQuotas(JobQuotas):
    """Job quotas from the settings tree, where 0 means no limit."""

    def __init__(self, view: SettingsView):
        self._view = view

    def quota(self, customer_id: CustomerId) -> Resources | None:
        """See :meth:`JobQuotas.quota`."""
        try:
            customer = self._view.tree.resolve_customer(customer_id)
        except PistachioliftError:
            # The customer was removed while its jobs were running.
            return None
        quota = Resources(
            customer.quota_cpu_milli,
            customer.quota_memory_mb,
            customer.quota_accelerators,
        )
        if quota == Resources():
            return None
        return Resources(
            quota.cpu_milli or UNLIMITED.cpu_milli,
            quota.memory_mb or UNLIMITED.memory_mb,
            quota.accelerators or UNLIMITED.accelerators,
        )
