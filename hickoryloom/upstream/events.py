"""Where streams of server-sent events may end."""

from __future__ import annotations

from hickoryloom.upstream.exchange import Exchange
from hickoryloom.upstream.messages import FailureCause

__all__ = ["ENDED_INSIDE_EVENT", "TAIL_BYTES", "check_end_of_events", "is_event_stream"]

ENDED_INSIDE_EVENT = "stream ended inside an event"
TAIL_BYTES = 3
"""Number of last bytes that tell whether a stream ends inside an event."""

EVENT_STREAM = "text/event-stream"
EVENT_ENDS = (b"\n\n", b"\n\r\n")


def is_event_stream(content_type: str) -> bool:
    """Return whether a `Content-Type` is that of an event stream."""
    return content_type.strip().lower().startswith(EVENT_STREAM)


def check_end_of_events(exchange: Exchange, tail: bytes) -> None:
    """Check that a complete response, if it is an event stream, does not end inside an event.

    Args:
        exchange: The exchange whose response was read to its end.
        tail: The body, or at least its last `TAIL_BYTES`.

    Raises:
        AttemptError: The stream was broken off.
    """
    if not is_event_stream(exchange.header("content-type")):
        return
    if tail and not tail.endswith(EVENT_ENDS):
        raise exchange.error(FailureCause.CONNECTION_LOST, ENDED_INSIDE_EVENT)
