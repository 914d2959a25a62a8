"""Relay: attempts at backend servers, whole answers and true verdicts."""

from hickoryloom.relay import messages, response, task
from hickoryloom.relay.messages import *  # noqa: F403
from hickoryloom.relay.response import *  # noqa: F403
from hickoryloom.relay.task import *  # noqa: F403

__all__ = [*messages.__all__, *response.__all__, *task.__all__]
