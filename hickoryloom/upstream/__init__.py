"""HTTP client for one attempt at one backend server: connections, framing and failures."""

from hickoryloom.upstream import buffering, connections, events, exchange, headers, messages
from hickoryloom.upstream.buffering import *  # noqa: F403
from hickoryloom.upstream.connections import *  # noqa: F403
from hickoryloom.upstream.events import *  # noqa: F403
from hickoryloom.upstream.exchange import *  # noqa: F403
from hickoryloom.upstream.headers import *  # noqa: F403
from hickoryloom.upstream.messages import *  # noqa: F403

__all__ = [
    *buffering.__all__,
    *connections.__all__,
    *events.__all__,
    *exchange.__all__,
    *headers.__all__,
    *messages.__all__,
]
