"""Messages between a reader and the instances that follow it."""

from __future__ import annotations

from typing import Any, TypeVar

import attrs
import cattrs
import cattrs.gen
from result import Err, Ok, Result

from hickoryloom.discovery import UNSTATED_WARM_UP_S, BackendServer

__all__ = [
    "Peer",
    "Poll",
    "SharedEvacuations",
    "SharedServer",
    "ViewUpdate",
    "encode_poll",
    "encode_update",
    "read_poll",
    "read_update",
]


T = TypeVar("T", bound=attrs.AttrsInstance)


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
class SharedEvacuations:
    """A listing of the evacuated failure domains by the reader.

    Attributes:
        domains: The listed failure domains.
        revision: Revision of the store at the listing, joined with its era.
        age_s: Seconds since the listing was requested.
    """

    domains: tuple[str, ...]
    revision: int
    age_s: float


@attrs.frozen
class Poll:
    """A follower's request for what it lacks.

    Attributes:
        key: Key of the follower's process.
        epoch: Epoch of the last update; empty for none.
        sequence: Sequence number of the last update.
        samples: The follower's samples by name, see `Sample`; on the wire they are fields of the
            message itself.
    """

    key: str
    epoch: str = ""
    sequence: int = 0
    samples: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen
class ViewUpdate:
    """What a reader knows of the store.

    Attributes:
        epoch: Identifies the reader's process; sequence numbers of another one are unrelated.
        sequence: Number of the last change of the registrations.
        complete: Whether `servers` lists all backend servers rather than the changed ones.
        config_version: Version of the configuration object in the store.
        config_age_s: Seconds since that version was last confirmed to be the newest.
        servers_age_s: Seconds since the registrations were last confirmed to be complete.
        servers: Backend servers, or those that changed since the sequence number asked for.
        removed: Ids of backend servers that were removed since then.
        store_era: Latest era of the store that the reader knows of.
        evacuations: Its last listing of the evacuated failure domains; None if it has read none,
            or runs a version that doesn't.
        samples: Combined samples of the reader and its followers by name, see `Sample`; on the wire
            they are fields of the message itself.
    """

    epoch: str
    sequence: int
    complete: bool
    config_version: int
    config_age_s: float
    servers_age_s: float
    servers: tuple[SharedServer, ...] = ()
    removed: tuple[str, ...] = ()
    store_era: int = 0
    evacuations: SharedEvacuations | None = None
    samples: dict[str, Any] = attrs.field(factory=dict)


def read_poll(value: Any) -> Result[Poll, str]:
    """Decode the JSON value of a poll; return an error message if it is invalid."""
    return _read(value, Poll)


def read_update(value: Any) -> Result[ViewUpdate, str]:
    """Decode the JSON value of an update; return an error message if it is invalid."""
    return _read(value, ViewUpdate)


def encode_poll(poll: Poll) -> dict[str, Any]:
    """Return the JSON value of a poll."""
    return _encode(poll)


def encode_update(update: ViewUpdate) -> dict[str, Any]:
    """Return the JSON value of an update."""
    value = _encode(update)
    if update.evacuations is None:
        del value["evacuations"]
    return value


def _encode(message: Poll | ViewUpdate) -> dict[str, Any]:
    value: dict[str, Any] = _converter.unstructure(message)
    samples = value.pop("samples")
    return {**samples, **value}


def _read(value: Any, kind: type[T]) -> Result[T, str]:
    if not isinstance(value, dict):
        # cattrs takes an empty list for a message of defaults.
        return Err(f"invalid {kind.__name__}: no object")
    names = {field.name for field in attrs.fields(kind)}
    samples = {name: field for name, field in value.items() if name not in names}
    try:
        return Ok(_converter.structure({**value, "samples": samples}, kind))
    except (
        cattrs.BaseValidationError,
        KeyError,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        return Err(f"invalid {kind.__name__}: {type(error).__name__}")


def _build_converter() -> cattrs.Converter:
    """Return a converter whose messages instances of the previous version read and write, too.

    They know only whether a backend server is warming up, and not for how long.
    """
    converter = cattrs.Converter()
    write = cattrs.gen.make_dict_unstructure_fn(BackendServer, converter)
    read = cattrs.gen.make_dict_structure_fn(BackendServer, converter)

    def write_server(server: BackendServer) -> dict[str, Any]:
        return {**write(server), "warming_up": server.warming_up}

    def read_server(value: Any, kind: type[BackendServer]) -> BackendServer:
        server = read(value, kind)
        if value.get("warming_up") is True and "warm_up_s" not in value:
            return attrs.evolve(server, warm_up_s=UNSTATED_WARM_UP_S)
        return server

    converter.register_unstructure_hook(BackendServer, write_server)
    converter.register_structure_hook(BackendServer, read_server)
    return converter


_converter = _build_converter()
