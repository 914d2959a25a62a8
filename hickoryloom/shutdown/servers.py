"""Ends a server without leaving requests unanswered."""

from __future__ import annotations

from hickoryloom.http import Server

__all__ = ["finish_server", "wait_quiet"]


def wait_quiet(server: Server, timeout_s: float | None) -> bool:
    """Wait until a server has no request left; return False if the timeout expires first."""
    return server.wait_idle(timeout_s)


def finish_server(server: Server, timeout_s: float | None) -> int:
    """Stop listening, close idle connections and wait for the responses to what has arrived.

    Returns:
        The number of requests that are left without a complete response.
    """
    server.stop_accepting()
    server.close_idle()
    server.wait_idle(timeout_s)
    return server.active
