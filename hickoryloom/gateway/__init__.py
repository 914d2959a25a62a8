"""HTTP gateway: forwards callers' requests to the routed services and relays the responses."""

from hickoryloom.gateway import messages, ports, settings
from hickoryloom.gateway.messages import *  # noqa: F403
from hickoryloom.gateway.ports import *  # noqa: F403
from hickoryloom.gateway.settings import *  # noqa: F403

__all__ = [*messages.__all__, *ports.__all__, *settings.__all__]
