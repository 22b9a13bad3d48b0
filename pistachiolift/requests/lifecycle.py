"""The state machine of one request at its home."""

from enum import Enum
from typing import Protocol

from automat import TypeMachineBuilder

__all__ = ["RequestLifecycle", "RequestPhase", "new_lifecycle"]


class RequestPhase(Enum):
    """Phase of a request at its home.

    - ``QUEUED``: waits for a slot.
    - ``RECORDING``: holds a slot while its intent is being written.
    - ``RUNNING``: an attempt is granted.
    - ``STOPPING``: the entry instance has been asked to stop the attempt.
    - ``CONFIRMING``: the upstream is being polled about a lost attempt.
    - ``WAITING``: waits before the next attempt.
    - ``ENDED``: the outcome is final and no attempt holds a slot.
    """

    QUEUED = "queued"
    RECORDING = "recording"
    RUNNING = "running"
    STOPPING = "stopping"
    CONFIRMING = "confirming"
    WAITING = "waiting"
    ENDED = "ended"


class RequestLifecycle(Protocol):
    """Inputs of the state machine; an input that the phase does not allow raises."""

    def record_intent(self) -> None:
        """The intent of a request that must not be repeated is being written."""

    def grant(self) -> None:
        """The request is granted an attempt on a slot."""

    def stop(self) -> None:
        """The entry instance is asked to stop the attempt."""

    def confirm(self) -> None:
        """The upstream is polled about a lost attempt."""

    def wait(self) -> None:
        """The request waits before its next attempt."""

    def requeue(self) -> None:
        """The request returns to the queue."""

    def end(self) -> None:
        """The request ends."""


class _Phase:
    """Holds the current phase, since the state machine does not expose its state."""

    def __init__(self) -> None:
        self.phase = RequestPhase.QUEUED


_builder = TypeMachineBuilder(RequestLifecycle, _Phase)
_states = {phase: _builder.state(phase.value) for phase in RequestPhase}

_TRANSITIONS = {
    RequestPhase.QUEUED: {
        RequestLifecycle.record_intent: RequestPhase.RECORDING,
        RequestLifecycle.grant: RequestPhase.RUNNING,
        RequestLifecycle.end: RequestPhase.ENDED,
    },
    RequestPhase.RECORDING: {
        RequestLifecycle.grant: RequestPhase.RUNNING,
        RequestLifecycle.requeue: RequestPhase.QUEUED,
        RequestLifecycle.end: RequestPhase.ENDED,
    },
    RequestPhase.RUNNING: {
        RequestLifecycle.stop: RequestPhase.STOPPING,
        RequestLifecycle.confirm: RequestPhase.CONFIRMING,
        RequestLifecycle.wait: RequestPhase.WAITING,
        RequestLifecycle.end: RequestPhase.ENDED,
    },
    RequestPhase.STOPPING: {
        RequestLifecycle.confirm: RequestPhase.CONFIRMING,
        RequestLifecycle.end: RequestPhase.ENDED,
    },
    RequestPhase.CONFIRMING: {
        RequestLifecycle.wait: RequestPhase.WAITING,
        RequestLifecycle.end: RequestPhase.ENDED,
    },
    RequestPhase.WAITING: {
        RequestLifecycle.requeue: RequestPhase.QUEUED,
        RequestLifecycle.end: RequestPhase.ENDED,
    },
    RequestPhase.ENDED: {},
}


def _declare(source: RequestPhase, signal: object, target: RequestPhase) -> None:
    @_states[source].upon(signal).to(_states[target])
    def enter(_inputs: RequestLifecycle, data: _Phase) -> None:
        data.phase = target


for _source, _targets in _TRANSITIONS.items():
    for _signal, _target in _targets.items():
        _declare(_source, _signal, _target)

_machine_factory = _builder.build()


def new_lifecycle() -> tuple[RequestLifecycle, _Phase]:
    """Return a state machine in phase ``QUEUED`` and the holder of its phase."""
    holder = _Phase()
    return _machine_factory(holder), holder
