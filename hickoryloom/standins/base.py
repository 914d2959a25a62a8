"""HTTP server, fault switches and dropped connections shared by all stand-ins."""

from __future__ import annotations

import errno
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import attrs
import cattrs
import falcon
from gevent import socket

from hickoryloom.http import SOCKET_KEY, JsonClient, Server

__all__ = ["StandIn", "drop_connection", "read_json", "register_backend", "set_switches"]

CONNECTION_DROPPED_KEY = "hickoryloom.standin.cut"
REGISTER_TIMEOUT_S = 5.0

S = TypeVar("S")


class StandIn:
    """HTTP server for one falcon application.

    Args:
        app: The application.
        listen: `host:port`; port 0 selects a free port.
    """

    def __init__(self, app: Callable[..., Any], listen: str) -> None:
        self._app = app
        self._server = Server(self._serve, listen)

    @property
    def address(self) -> str:
        """`host:port` that the server listens on."""
        return self._server.address

    def start(self) -> None:
        """Bind the listening socket and start to accept connections.

        Raises:
            OSError: The address can't be bound.
        """
        self._server.start()

    def stop(self) -> None:
        """Close the listening socket and every connection."""
        self._server.close()

    def _serve(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        response = self._app(environ, start_response)
        if environ.get(CONNECTION_DROPPED_KEY):
            # The server answers an error of its application unless the connection has ended.
            environ[SOCKET_KEY].shutdown(socket.SHUT_RDWR)
            raise ConnectionResetError(errno.ECONNRESET, "connection dropped by a fault switch")
        return response


def drop_connection(request: falcon.Request) -> None:
    """Close the connection of `request` without sending a response."""
    request.env[CONNECTION_DROPPED_KEY] = True


def read_json(request: falcon.Request) -> dict[str, Any]:
    """Parse the request body as a JSON object.

    Raises:
        falcon.HTTPBadRequest: The body is not a JSON object.
    """
    body = request.get_media()
    if not isinstance(body, dict):
        raise falcon.HTTPBadRequest(title="the body must be a JSON object")
    return body


def set_switches(switches: S, changes: dict[str, Any]) -> S:
    """Return a copy of `switches` with `changes` applied.

    Args:
        switches: Instance of an attrs class.
        changes: New values by field name.

    Raises:
        falcon.HTTPBadRequest: A name is unknown or a value has the wrong type.
    """
    allowed = {field.name for field in attrs.fields(type(switches))}  # type: ignore[arg-type]
    unknown = sorted(set(changes) - allowed)
    if unknown:
        raise falcon.HTTPBadRequest(
            title=f"unknown switch {', '.join(unknown)}; allowed: {', '.join(sorted(allowed))}"
        )
    values = {**attrs.asdict(switches), **changes}  # type: ignore[arg-type]
    try:
        return cattrs.structure(values, type(switches))
    except Exception as error:
        raise falcon.HTTPBadRequest(title=f"bad value: {error}")


def register_backend(platform: str, row: dict[str, Any], spare: bool) -> None:
    """Register a backend server with the platform stand-in.

    Args:
        platform: `host:port` of the platform stand-in.
        row: The fields of a `LiveBackend`.
        spare: Whether the server is spare until an order starts it; otherwise it is live at once.

    Raises:
        OSError: The platform stand-in sent no response or rejected the registration.
    """
    client = JsonClient(platform, timeout_s=REGISTER_TIMEOUT_S)
    response = client.call("POST", "/standin/backends", {**row, "spare": spare})
    client.close()
    if response.is_err():
        raise OSError(
            f"no response from the platform stand-in {platform}: {response.unwrap_err().detail}"
        )
    if response.unwrap().status != 200:
        raise OSError(
            f"platform stand-in {platform} rejected the registration: {response.unwrap().body}"
        )
