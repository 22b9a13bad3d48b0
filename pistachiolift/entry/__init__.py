"""Entry instances: HTTP interfaces, dispatch of attempts and the ``serve`` process."""

from .config import InstanceConfig
from .instance import Instance

__all__ = ["Instance", "InstanceConfig"]
