"""A WSGI server based on gevent that can stop without interrupting requests."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from gevent.pywsgi import WSGIServer

from hickoryloom.http.connection_log import ConnectionLog, Phase
from hickoryloom.http.connections import Connections
from hickoryloom.http.handler import REQUEST_KEY, SOCKET_KEY, WATCHES_KEY, WRITES_KEY, Handler
from hickoryloom.http.limits import ConnectionLimits
from hickoryloom.http.write_watch import WriteWatch

__all__ = ["REQUEST_KEY", "SOCKET_KEY", "WATCHES_KEY", "WRITES_KEY", "Server"]

MAX_CONNECTIONS = 8192

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class Server:
    """Serves a WSGI application on one address.

    Attributes:
        limits: Limits for each connection, which may be replaced at any time.
        ends: Logs and counts the requests whose connection ends without a complete response.
        connections: The open connections.
        write_watch: Notices callers that don't read; None if nothing is done about them.
        name: Name of the server in the log.
        is_stopping: Whether callers are asked to close their connections.

    Args:
        app: The WSGI application.
        address: `host:port`; port 0 selects a free port.
        write_watch: Notices callers that don't read; None if nothing is done about them.
        name: Name of the server in the log.
    """

    def __init__(
        self,
        app: WsgiApp,
        address: str,
        write_watch: WriteWatch | None = None,
        name: str = "",
    ) -> None:
        host, _, port = address.rpartition(":")
        self.name = name or address
        self.ends = ConnectionLog(self.name)
        self.connections = Connections(self.ends)
        self.write_watch = write_watch
        self.limits = ConnectionLimits()
        self.is_stopping = False
        self._server = _Listener(
            (host, int(port)),
            app,
            handler_class=Handler,
            log=None,
            error_log=None,
            spawn=MAX_CONNECTIONS,
            environ={"SERVER_NAME": host},
        )
        self._server.owner = self

    @property
    def address(self) -> str:
        """`host:port` that the server listens on."""
        return f"{self._server.server_host}:{self._server.server_port}"

    @property
    def active(self) -> int:
        """The number of requests in progress."""
        return len(self.connections.serving)

    @property
    def reading(self) -> int:
        """The number of requests of which a part has been read, but not all headers."""
        return len(self.connections.reading)

    @property
    def unread(self) -> int:
        """The number of connections with bytes of a request that the process has not read yet."""
        return self.connections.unread

    def bind(self) -> None:
        """Bind the address without serving yet, so that it can be announced.

        Raises:
            OSError: The address can't be bound.
        """
        self._server.init_socket()

    def start(self) -> None:
        """Start accepting connections.

        Raises:
            OSError: The address can't be bound.
        """
        self._server.start()

    def drain(self) -> None:
        """Keep accepting connections, but ask callers to close them after each response."""
        self.is_stopping = True
        self.ends.phase = Phase.DRAINING

    def stop_accepting(self) -> None:
        """Accept the connections in the queue, stop listening and keep serving open connections."""
        self.is_stopping = True
        self.ends.phase = Phase.CLOSING
        self._accept_queued()
        self._server.close()

    def close_idle(self) -> None:
        """Close the connections that wait for a request and have no unread bytes."""
        self.connections.close_idle()

    def wait_idle(self, timeout_s: float | None = None) -> bool:
        """Wait until no request is in progress; return False if the timeout expires first."""
        return self.connections.wait_until(lambda: not self.active, timeout_s)

    def wait_quiet(self, timeout_s: float) -> bool:
        """Wait until no request is in progress, being read or unread, nor a connection queued.

        Args:
            timeout_s: Maximum time to wait.

        Returns:
            Whether that was reached.
        """
        return self.connections.wait_until(self._is_quiet, timeout_s)

    def finish(self, timeout_s: float | None) -> int:
        """Stop listening, answer what has arrived, and close all connections.

        The process may end afterwards. Requests that arrive on a connection in the moment of its
        close are not read.

        Args:
            timeout_s: Maximum time to wait for the responses; None for no limit.

        Returns:
            The number of requests that have arrived and are left unanswered.
        """
        self.stop_accepting()
        return self.connections.finish(timeout_s)

    def close(self) -> None:
        """Close the listening socket and all connections."""
        self._server.stop(timeout=0)

    def _is_quiet(self) -> bool:
        self._accept_queued()
        return self.connections.is_quiet

    def _accept_queued(self) -> None:
        """Accept the connections that the kernel has established."""
        if not self._server.started:
            return
        accepted = -1
        while accepted < len(self.connections.starting):
            accepted = len(self.connections.starting)
            self._server.accept_now()


class _Listener(WSGIServer):
    """Records the connections that have been accepted until their handlers run."""

    owner: Server

    def accept_now(self) -> None:
        """Accept connections without waiting for the event loop."""
        self._do_read()

    def do_handle(self, *args: Any) -> None:
        """Start the handler of a connection."""
        self.owner.connections.starting.add(args[0])
        super().do_handle(*args)

    def do_close(self, *args: Any) -> None:
        """Close a connection whose handler has ended or could not be started."""
        self.owner.connections.starting.discard(args[0])
        super().do_close(*args)
        self.owner.connections.notify()
