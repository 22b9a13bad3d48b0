"""Identities of processes.

Each process on an instance has an identity of its own: the platform's identifier of the
instance, a separator and a random part. A restarted process has lost its promises and
grants, so other processes must not mistake it for its predecessor.
"""

import secrets

from .ids import InstanceId

__all__ = ["is_process_identity", "new_process_identity", "platform_instance_id"]

SEPARATOR = "~"
RANDOM_BYTES = 4


def new_process_identity(instance_id: InstanceId) -> InstanceId:
    """Create the identity of a new process on an instance."""
    return InstanceId(f"{instance_id}{SEPARATOR}{secrets.token_hex(RANDOM_BYTES)}")


def platform_instance_id(identity: InstanceId) -> InstanceId:
    """Return the platform's identifier of the instance that runs a process."""
    return InstanceId(identity.partition(SEPARATOR)[0])


def is_process_identity(identity: InstanceId) -> bool:
    """Whether an identifier is that of a process, not of its instance."""
    return SEPARATOR in identity
