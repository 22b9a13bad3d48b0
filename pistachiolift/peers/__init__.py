"""Messages between entry instances and the network that carries them."""

from .messages import *  # noqa: F403
from .messages import __all__ as _message_names
from .network import PeerNetwork

__all__ = ["PeerNetwork"]
__all__ += _message_names
