"""Finds out who sent a call and which request it makes."""

from __future__ import annotations

from result import Err, Ok, Result

from hickoryloom.admission import Request
from hickoryloom.configuration import Snapshot
from hickoryloom.entry.messages import CallerError
from hickoryloom.entry.requests import (
    MODEL_PATHS,
    parse_model_request,
    parse_service_request,
    split_service_path,
)
from hickoryloom.http import Call
from hickoryloom.keys import Identity, UnauthenticatedReason, anonymous, authenticate

__all__ = ["identify", "is_open", "parse_request"]

IGNORED_ON_OPEN_ROUTES = frozenset(
    (
        UnauthenticatedReason.MISSING,
        UnauthenticatedReason.MALFORMED,
        UnauthenticatedReason.UNKNOWN,
    )
)


def identify(call: Call, snapshot: Snapshot) -> Result[Identity, CallerError]:
    """Bind a call to the customer whose key came with it.

    A route open to all is served without a key; a valid key that comes with it counts all the same.
    """
    found = authenticate(call, snapshot)
    if found.is_ok():
        return Ok(found.unwrap())
    fault = found.unwrap_err()
    if fault.reason in IGNORED_ON_OPEN_ROUTES and is_open(call, snapshot):
        return Ok(anonymous())
    return Err(CallerError(fault.status, fault.reason.value, fault.detail))


def parse_request(
    call: Call, identity: Identity, snapshot: Snapshot, request_id: str, now: float
) -> Result[Request, CallerError]:
    """Check a call against the configuration and return the request that it makes."""
    if call.path in MODEL_PATHS:
        if call.method != "POST":
            return Err(CallerError(405, "bad-method", "Only POST is allowed here."))
        return parse_model_request(call, identity, snapshot, request_id, now)
    if not split_service_path(call.path)[0]:
        return Err(CallerError(404, "unknown-path", "No such path."))
    return parse_service_request(call, identity, snapshot, request_id, now)


def is_open(call: Call, snapshot: Snapshot) -> bool:
    """Return whether the route is open to all."""
    service, path = split_service_path(call.path)
    route = snapshot.route_of(service, call.method, path) if service else None
    return route is not None and route.open
