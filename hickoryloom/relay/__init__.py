"""Relay: attempts at backend servers, whole answers and true verdicts."""

from hickoryloom.relay import answer, messages, task
from hickoryloom.relay.answer import *  # noqa: F403
from hickoryloom.relay.messages import *  # noqa: F403
from hickoryloom.relay.task import *  # noqa: F403

__all__ = [*answer.__all__, *messages.__all__, *task.__all__]
