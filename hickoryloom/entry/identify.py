"""Finds out who sent a call and which request it makes."""

from __future__ import annotations

import attrs
from result import Err, Ok, Result

from hickoryloom.admission import Request
from hickoryloom.configuration import Snapshot
from hickoryloom.entry.messages import CallerError
from hickoryloom.entry.requests import (
    MODEL_PATHS,
    SERVICE_PREFIX,
    Caller,
    parse_model_request,
    parse_service_request,
)
from hickoryloom.http import Call
from hickoryloom.keys import Identity, anonymous, authenticate

__all__ = ["Identified", "identify", "parse_request", "split_service_path"]


@attrs.frozen
class Identified:
    """A call whose sender is known.

    Attributes:
        identity: The customer's key, or nobody on a route open to all.
        keyed: Whether the call depends on a key that must still be in force.
    """

    identity: Identity
    keyed: bool


def identify(call: Call, snapshot: Snapshot) -> Result[Identified, CallerError]:
    """Bind a call to the customer whose key came with it.

    A route open to all is served without a key; a valid key that comes with it counts all the same.
    """
    found = authenticate(call, snapshot)
    if found.is_ok():
        return Ok(Identified(found.unwrap(), keyed=True))
    if _is_open(call, snapshot):
        return Ok(Identified(anonymous(), keyed=False))
    fault = found.unwrap_err()
    return Err(CallerError(401, fault.code, fault.message))


def parse_request(
    call: Call, identity: Identity, snapshot: Snapshot, request_id: str, now: float
) -> Result[Request, CallerError]:
    """Check a call against the configuration and return the request that it makes."""
    caller = Caller(customer=identity.customer, key=identity.key)
    if call.path in MODEL_PATHS:
        if call.method != "POST":
            return Err(CallerError(405, "bad-method", "Only POST is allowed here."))
        return parse_model_request(call, caller, snapshot, request_id, now)
    service, path = split_service_path(call.path)
    if not service:
        return Err(CallerError(404, "unknown-path", "No such path."))
    return parse_service_request(call, service, path, caller, snapshot, now, request_id=request_id)


def split_service_path(path: str) -> tuple[str, str]:
    """Return the service's name and the path below it; an empty name for other paths."""
    if not path.startswith(SERVICE_PREFIX):
        return "", ""
    service, slash, rest = path[len(SERVICE_PREFIX) :].partition("/")
    return service, slash + rest if slash else "/"


def _is_open(call: Call, snapshot: Snapshot) -> bool:
    service, path = split_service_path(call.path)
    route = snapshot.route_of(service, call.method, path) if service else None
    return route is not None and route.open
