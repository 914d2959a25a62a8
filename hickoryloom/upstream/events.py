"""Where streams of server-sent events may end."""

from __future__ import annotations

__all__ = ["ends_inside_event", "is_event_stream"]

EVENT_STREAM = "text/event-stream"
EVENT_ENDS = (b"\n\n", b"\n\r\n")


def is_event_stream(content_type: str) -> bool:
    """Return whether a `Content-Type` is that of an event stream."""
    return content_type.strip().lower().startswith(EVENT_STREAM)


def ends_inside_event(data: bytes) -> bool:
    """Return whether an event stream whose last bytes are `data` ends inside an event.

    Args:
        data: The stream, or at least its last three bytes.
    """
    return bool(data) and not data.endswith(EVENT_ENDS)
