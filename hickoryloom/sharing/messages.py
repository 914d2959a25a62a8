"""Messages between a reader and the instances that follow it."""

from __future__ import annotations

from typing import Any

import attrs
import cattrs
from result import Err, Ok, Result

from hickoryloom.discovery import BackendServer

__all__ = ["Peer", "SharedServer", "ViewUpdate", "read_update"]


@attrs.frozen
class Peer:
    """An instance that can serve as a reader.

    Attributes:
        key: Unique key of its process.
        address: `host:port` at which it serves other instances.
        failure_domain: Failure domain in which it runs.
    """

    key: str
    address: str
    failure_domain: str


@attrs.frozen
class SharedServer:
    """A backend server as the reader sees it.

    Attributes:
        server: The backend server.
        expires_in_s: Seconds until it is dropped, since its registration is missing; None if it
            is registered.
    """

    server: BackendServer
    expires_in_s: float | None = None


@attrs.frozen
class ViewUpdate:
    """What a reader knows of the store.

    Attributes:
        epoch: Identifies the reader's process; sequence numbers of another one are unrelated.
        sequence: Number of the last change of the registrations.
        complete: Whether `servers` lists all backend servers rather than the changed ones.
        config_version: Version of the configuration object in the store.
        config_age_s: Seconds since that version was last confirmed to be the newest.
        servers: Backend servers, or those that changed since the sequence number asked for.
        removed: Ids of backend servers that were removed since then.
    """

    epoch: str
    sequence: int
    complete: bool
    config_version: int
    config_age_s: float
    servers: tuple[SharedServer, ...] = ()
    removed: tuple[str, ...] = ()


def read_update(value: Any) -> Result[ViewUpdate, str]:
    """Decode the JSON value of an update; return an error message if it is invalid."""
    try:
        return Ok(cattrs.structure(value, ViewUpdate))
    except (cattrs.BaseValidationError, KeyError, TypeError, ValueError) as error:
        return Err(f"invalid view update: {type(error).__name__}")
