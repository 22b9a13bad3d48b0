"""Timing constants of partition ownership."""

from dataclasses import dataclass, fields

__all__ = ["OwnershipTimings"]


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnershipTimings:
    """Intervals in seconds; the defaults are those of section 5.6 of the design.

    :param renew_interval_s: time between two renewals of the instance lease.
    :param start_before_s: time for which an issued command may still start.
    :param drift_margin_s: constant part of the margin for clock differences.
    :param drift_ratio: part of the margin that is proportional to the interval;
        bounds the difference in rate of any two clocks.
    :param promise_s: duration of a promise.
    :param promise_retry_s: time between two requests for the same promise, short enough
        to tolerate the loss of two requests.
    :param outage_limit_s: longest time that an owner keeps authority without its lease.
    :param store_contact_max_age_s: age of the last answer of the store up to which an
        instance considers the store reachable.
    :param isolation_grace_s: time for which successors that reach the store continue to
        promise to an owner whose lease has expired. After a store outage all leases
        have expired, and the owners need a few renewal intervals to get new ones.
    :param successor_delay_s: additional delay of the second successor, so that the two
        do not write at the same time.
    :param settle_s: time without a new instance that must pass before a new instance
        claims partitions without an owner.
    :param settle_limit_s: upper bound of that wait.
    :param claim_delay_per_rank_s: delay, per rank, of instances that are not the
        planned owner of a partition without an owner.
    :param replace_after_s: absence after which a successor is replaced.
    :param write_retry_s: time between two writes or reads of the same record.
    :param min_drain_s: shortest duration of a drain. After it, the directory has
        informed the other instances, and no handover to this instance is in flight.
    :param directory_answer_max_age_s: age of the last answer of the directory that
        lists an owner, up to which the owner may rely on promises.
    :param directory_lag_limit_s: assumed upper bound of the age of the data in the
        directory's answers.
    :param directory_absence_s: time for which an instance must be missing from the
        directory's answers before it is considered stopped.
    :param restart_hold_s: time after the expiry of a key within which the keys of
        processes that had stopped before also expire; longer than a lease.
    :param rebalance_after_s: time for which an owner and a better placed instance must
        both have been present before a handover between them.
    :param rebalance_interval_s: time between two such handovers by one instance.
    """

    renew_interval_s: float = 1.0
    start_before_s: float = 1.0
    drift_margin_s: float = 0.25
    drift_ratio: float = 0.01
    promise_s: float = 2.0
    promise_retry_s: float = 0.5
    outage_limit_s: float = 900.0
    store_contact_max_age_s: float = 2.0
    isolation_grace_s: float = 5.0
    successor_delay_s: float = 0.25
    settle_s: float = 1.0
    settle_limit_s: float = 3.0
    claim_delay_per_rank_s: float = 2.0
    replace_after_s: float = 3.0
    write_retry_s: float = 0.5
    min_drain_s: float = 1.0
    directory_answer_max_age_s: float = 5.0
    directory_lag_limit_s: float = 10.0
    directory_absence_s: float = 16.0
    restart_hold_s: float = 4.0
    rebalance_after_s: float = 60.0
    rebalance_interval_s: float = 30.0

    def __post_init__(self):
        for field in fields(self):
            value = getattr(self, field.name)
            if not value >= 0:
                raise ValueError(f"{field.name} is {value}; it must be 0 or more")
        least_s = self.directory_answer_max_age_s + self.directory_lag_limit_s
        least_s += self.margin_s(least_s)
        if self.directory_absence_s < least_s:
            raise ValueError(
                f"directory_absence_s is {self.directory_absence_s}; it must be "
                f"{least_s} or more"
            )

    def margin_s(self, interval_s: float) -> float:
        """Return the safety margin for an interval that two clocks measure.

        The instance that relies on the interval must assume that it ends this much
        earlier.

        :param interval_s: length of the interval, in seconds.
        """
        return self.drift_margin_s + self.drift_ratio * interval_s

    @property
    def takeover_wait_s(self) -> float:
        """Time after which no command of an earlier owner can start, in seconds."""
        return self.start_before_s + self.margin_s(self.start_before_s)

    @property
    def renewal_late_s(self) -> float:
        """Age of the last renewal from which an owner requests promises."""
        return 1.5 * self.renew_interval_s
