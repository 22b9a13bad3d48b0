"""State machine of one partition at one instance."""

from enum import Enum
from typing import Protocol

from automat import TypeMachineBuilder

from ..common import Epoch, InstanceId, PartitionId
from .actions import (
    BeginAuthority,
    EndAuthority,
    EndReason,
    EpochChanged,
    HandOver,
    StartRecovery,
)
from .record import PartitionRecord

__all__ = [
    "OWNER_PHASES",
    "ACTIVE_OWNER_PHASES",
    "OwnershipInputs",
    "OwnershipPhase",
    "build_machine",
]


class OwnershipPhase(Enum):
    """Relation of this instance to a partition.

    - ``FOLLOWING``: does not own the partition.
    - ``CLAIMING``: has sent a write that makes it the owner.
    - ``RECOVERING``: owns the partition and recovers the state of earlier owners.
    - ``SUSPENDED``: owns the partition without valid authority.
    - ``DECIDING``: owns the partition and has authority.
    - ``HANDING_OVER``: writes the record that names the next owner.
    """

    FOLLOWING = "following"
    CLAIMING = "claiming"
    RECOVERING = "recovering"
    SUSPENDED = "suspended"
    DECIDING = "deciding"
    HANDING_OVER = "handing_over"


ACTIVE_OWNER_PHASES = frozenset(
    {OwnershipPhase.RECOVERING, OwnershipPhase.SUSPENDED, OwnershipPhase.DECIDING}
)
OWNER_PHASES = ACTIVE_OWNER_PHASES | {OwnershipPhase.HANDING_OVER}


class OwnershipInputs(Protocol):
    """Inputs of the state machine."""

    def claim(self) -> None:
        """A write that makes this instance the owner is sent."""

    def become_owner(self, wait_until_s: float | None) -> None:
        """The record names this instance as a new owner.

        :param wait_until_s: clock reading until which recovery must wait, in seconds;
            ``None`` if the state was handed over.
        """

    def keep_ownership(self) -> None:
        """The record has changed and still names this instance."""

    def lose_ownership(self) -> None:
        """The record names another instance or no owner."""

    def complete_recovery(self) -> None:
        """The recovery is complete."""

    def gain_authority(self) -> None:
        """The lease or the promises give authority."""

    def lose_authority(self) -> None:
        """Neither the lease nor the promises give authority any more."""

    def start_hand_over(self, reason: EndReason) -> None:
        """The partition is to be handed over to another instance."""

    def complete_hand_over(self, record: PartitionRecord, version: int) -> None:
        """The record names the next owner that this instance has chosen."""


class MachineContext(Protocol):
    """State of a partition that the outputs of the machine use and change."""

    phase: OwnershipPhase
    partition_id: PartitionId
    epoch: Epoch
    decided_epoch: Epoch

    def emit(self, action) -> None:
        """Add an action to those returned to the caller of the core."""


def _follow(inputs, context: MachineContext) -> None:
    context.phase = OwnershipPhase.FOLLOWING


def _start_claim(inputs, context: MachineContext) -> None:
    context.phase = OwnershipPhase.CLAIMING


def _start_recovery(
    inputs, context: MachineContext, wait_until_s: float | None
) -> None:
    context.phase = OwnershipPhase.RECOVERING
    if wait_until_s is not None:
        context.emit(
            StartRecovery(
                partition_id=context.partition_id,
                epoch=context.epoch,
                wait_until_s=wait_until_s,
            )
        )


def _suspend(inputs, context: MachineContext) -> None:
    context.phase = OwnershipPhase.SUSPENDED


def _begin_authority(inputs, context: MachineContext) -> None:
    context.phase = OwnershipPhase.DECIDING
    context.decided_epoch = context.epoch
    context.emit(BeginAuthority(partition_id=context.partition_id, epoch=context.epoch))


def _change_epoch(inputs, context: MachineContext) -> None:
    if context.decided_epoch != context.epoch:
        context.decided_epoch = context.epoch
        context.emit(
            EpochChanged(partition_id=context.partition_id, epoch=context.epoch)
        )


def _end_authority(
    context: MachineContext, phase: OwnershipPhase, reason: EndReason
) -> None:
    context.phase = phase
    context.emit(
        EndAuthority(
            partition_id=context.partition_id,
            epoch=context.decided_epoch,
            reason=reason,
        )
    )


def _suspend_authority(inputs, context: MachineContext) -> None:
    _end_authority(context, OwnershipPhase.SUSPENDED, EndReason.AUTHORITY_EXPIRED)


def _supersede(inputs, context: MachineContext) -> None:
    _end_authority(context, OwnershipPhase.FOLLOWING, EndReason.SUPERSEDED)


def _start_hand_over(inputs, context: MachineContext, reason: EndReason) -> None:
    _end_authority(context, OwnershipPhase.HANDING_OVER, reason)


def _send_hand_over(
    inputs, context: MachineContext, record: PartitionRecord, version: int
) -> None:
    context.phase = OwnershipPhase.FOLLOWING
    if record.owner is not None:
        context.emit(
            HandOver(
                to_id=InstanceId(record.owner),
                partition_id=context.partition_id,
                record=record,
                version=version,
            )
        )


def build_machine():
    """Return a factory of state machines, which takes the context as argument."""
    builder = TypeMachineBuilder(OwnershipInputs, MachineContext)
    state = {phase: builder.state(phase.value) for phase in OwnershipPhase}
    following = state[OwnershipPhase.FOLLOWING]
    claiming = state[OwnershipPhase.CLAIMING]
    recovering = state[OwnershipPhase.RECOVERING]
    suspended = state[OwnershipPhase.SUSPENDED]
    deciding = state[OwnershipPhase.DECIDING]
    handing_over = state[OwnershipPhase.HANDING_OVER]
    inputs = OwnershipInputs

    following.upon(inputs.claim).to(claiming)(_start_claim)
    claiming.upon(inputs.claim).loop().returns(None)
    for each in (following, claiming):
        each.upon(inputs.become_owner).to(recovering)(_start_recovery)
    recovering.upon(inputs.complete_recovery).to(suspended)(_suspend)
    suspended.upon(inputs.gain_authority).to(deciding)(_begin_authority)
    deciding.upon(inputs.lose_authority).to(suspended)(_suspend_authority)
    deciding.upon(inputs.keep_ownership).loop()(_change_epoch)
    for each in (recovering, suspended, handing_over):
        each.upon(inputs.keep_ownership).loop().returns(None)
    deciding.upon(inputs.start_hand_over).to(handing_over)(_start_hand_over)
    handing_over.upon(inputs.complete_hand_over).to(following)(_send_hand_over)
    following.upon(inputs.lose_ownership).loop().returns(None)
    for each in (recovering, suspended, deciding):
        each.upon(inputs.lose_ownership).to(following)(_supersede)
    for each in (claiming, handing_over):
        each.upon(inputs.lose_ownership).to(following)(_follow)
    return builder.build()
