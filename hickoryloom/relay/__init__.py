"""Relay: attempts at backend servers, whole answers and true verdicts."""

from hickoryloom.relay import answer, connections, exchange, messages, task
from hickoryloom.relay.answer import *  # noqa: F403
from hickoryloom.relay.connections import *  # noqa: F403
from hickoryloom.relay.exchange import *  # noqa: F403
from hickoryloom.relay.messages import *  # noqa: F403
from hickoryloom.relay.task import *  # noqa: F403

__all__ = [
    *answer.__all__,
    *connections.__all__,
    *exchange.__all__,
    *messages.__all__,
    *task.__all__,
]
