"""What all stand-ins share: a server, typed fault switches and cut connections."""

from __future__ import annotations

import errno
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import attrs
import cattrs
import falcon

from hickoryloom.http import JsonClient, Server

__all__ = ["StandIn", "cut_connection", "read_json", "register_backend", "set_switches"]

CUT_MARK = "hickoryloom.standin.cut"
REGISTER_TIMEOUT_S = 5.0

S = TypeVar("S")


class StandIn:
    """Serves one falcon application until it is stopped.

    Args:
        app: The application.
        listen: `host:port`; port 0 takes a free one.
    """

    def __init__(self, app: Callable[..., Any], listen: str) -> None:
        self._app = app
        self._server = Server(self._serve, listen)

    @property
    def address(self) -> str:
        """`host:port` that it listens on."""
        return self._server.address

    def start(self) -> None:
        """Begin to answer calls.

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
        answer = self._app(environ, start_response)
        if environ.get(CUT_MARK):
            raise ConnectionResetError(errno.ECONNRESET, "cut by a fault switch")
        return answer


def cut_connection(request: falcon.Request) -> None:
    """Close the connection of `request` without an answer."""
    request.env[CUT_MARK] = True


def read_json(request: falcon.Request) -> dict[str, Any]:
    """Return the JSON object in the body of a request.

    Raises:
        falcon.HTTPBadRequest: The body is no JSON object.
    """
    body = request.get_media()
    if not isinstance(body, dict):
        raise falcon.HTTPBadRequest(title="the body must be a JSON object")
    return body


def set_switches(switches: S, changes: dict[str, Any]) -> S:
    """Return `switches` with `changes` applied.

    Args:
        switches: An attrs instance.
        changes: New values by field name.

    Raises:
        falcon.HTTPBadRequest: A name is unknown or a value has another type.
    """
    known = {field.name for field in attrs.fields(type(switches))}  # type: ignore[arg-type]
    unknown = sorted(set(changes) - known)
    if unknown:
        raise falcon.HTTPBadRequest(
            title=f"unknown switch {', '.join(unknown)}; allowed: {', '.join(sorted(known))}"
        )
    merged = {**attrs.asdict(switches), **changes}  # type: ignore[arg-type]
    try:
        return cattrs.structure(merged, type(switches))
    except Exception as error:
        raise falcon.HTTPBadRequest(title=f"bad value: {error}")


def register_backend(platform: str, row: dict[str, Any], spare: bool) -> None:
    """Enter a backend server in the list of the platform stand-in.

    Args:
        platform: `host:port` of the platform stand-in.
        row: The fields of a `LiveBackend`.
        spare: Whether it waits for an order instead of being live at once.

    Raises:
        OSError: The platform stand-in did not accept it.
    """
    client = JsonClient(platform, timeout_s=REGISTER_TIMEOUT_S)
    answer = client.call("POST", "/standin/backends", {**row, "spare": spare})
    client.close()
    if answer.is_err():
        raise OSError(f"platform stand-in at {platform}: {answer.unwrap_err().detail}")
    if answer.unwrap().status != 200:
        raise OSError(f"platform stand-in at {platform}: {answer.unwrap().body}")
