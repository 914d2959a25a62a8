"""Relay: forwards requests to backend servers, retries them, and reports whether they ran."""

from hickoryloom.relay import messages, response, task
from hickoryloom.relay.messages import *  # noqa: F403
from hickoryloom.relay.response import *  # noqa: F403
from hickoryloom.relay.task import *  # noqa: F403

__all__ = [*messages.__all__, *response.__all__, *task.__all__]
