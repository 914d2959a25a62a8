"""Messages between an instance that the store doesn't answer and one that it asks."""

from __future__ import annotations

from typing import Any, TypeVar

import attrs
import cattrs
from result import Err, Ok, Result

from hickoryloom.catalog import Catalog
from hickoryloom.sharing import SharedServer

__all__ = [
    "MIN_GAIN_S",
    "PeerView",
    "PeerViewRequest",
    "read_peer_view",
    "read_peer_view_request",
]

MIN_GAIN_S = 0.1
"""Time by which a view must be newer to replace one of the same version. Ages lose the time that
messages are under way, so that two instances would otherwise exchange the same view forever."""

T = TypeVar("T")


@attrs.frozen
class PeerViewRequest:
    """What the asking instance has already.

    Attributes:
        address: `host:port` at which it serves other instances.
        config_version: Version of the configuration object that it has in force; 0 for none.
        servers_age_s: Seconds since its registrations were last confirmed to be complete; None if
            it has none.
    """

    address: str
    config_version: int = 0
    servers_age_s: float | None = None


@attrs.frozen
class PeerView:
    """What an instance has in force, whether it read it itself or took it from another one.

    Attributes:
        store_era: Latest era of the store that it knows of.
        config_version: Version of the configuration object that it has in force; 0 for none.
        config_age_s: Seconds since that version was last confirmed to be the newest.
        catalog: The configuration; None if the asking instance has this version or a newer one.
        servers_age_s: Seconds since its registrations were last confirmed to be complete; None if
            it has none, or none that are newer than those of the asking instance.
        servers: All backend servers.
        peers: Addresses of other instances.
        instances: Number of live instances as it counted them; 0 if it has not.
    """

    store_era: int = 0
    config_version: int = 0
    config_age_s: float = 0.0
    catalog: Catalog | None = None
    servers_age_s: float | None = None
    servers: tuple[SharedServer, ...] = ()
    peers: tuple[str, ...] = ()
    instances: int = 0


def read_peer_view(value: Any) -> Result[PeerView, str]:
    """Decode the JSON value of a view; return an error message if it is invalid."""
    return _read(value, PeerView)


def read_peer_view_request(value: Any) -> Result[PeerViewRequest, str]:
    """Decode the JSON value of a request; return an error message if it is invalid."""
    return _read(value, PeerViewRequest)


def _read(value: Any, kind: type[T]) -> Result[T, str]:
    if not isinstance(value, dict):
        return Err(f"invalid {kind.__name__}: not an object")
    try:
        return Ok(cattrs.structure(value, kind))
    except (cattrs.BaseValidationError, KeyError, TypeError, ValueError) as error:
        return Err(f"invalid {kind.__name__}: {type(error).__name__}")
