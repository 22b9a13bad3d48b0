"""Identities of processes.

The platform names an instance, and each process on it takes an identity of its own: the
instance's identifier, a separator and a random part. A restarted process has forgotten
its promises and its grants, so it must not be taken for the earlier one.
"""

import secrets

from .ids import InstanceId

__all__ = ["is_process_identity", "new_identity", "platform_instance_id"]

SEPARATOR = "~"
RANDOM_BYTES = 4


def new_identity(instance_id: InstanceId) -> InstanceId:
    """Return the identity of a new process on an instance."""
    return InstanceId(f"{instance_id}{SEPARATOR}{secrets.token_hex(RANDOM_BYTES)}")


def platform_instance_id(identity: InstanceId) -> InstanceId:
    """Return the platform's identifier of the instance of a process."""
    return InstanceId(identity.partition(SEPARATOR)[0])


def is_process_identity(identity: InstanceId) -> bool:
    """Whether an identifier names one process and not only its instance."""
    return SEPARATOR in identity
