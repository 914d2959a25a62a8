"""Identifies the customer of a call and dispatches the call to its parser."""

from __future__ import annotations

from result import Err, Ok, Result

from hickoryloom.admission import Request
from hickoryloom.configuration import Snapshot
from hickoryloom.entry.messages import ClientError
from hickoryloom.entry.requests import (
    MODEL_PATHS,
    parse_model_request,
    parse_service_request,
    split_service_path,
)
from hickoryloom.http import Call
from hickoryloom.keys import Identity, UnauthenticatedReason, anonymous, authenticate

__all__ = ["identify", "is_public_route", "parse_request"]

IGNORED_ON_PUBLIC_ROUTES = frozenset(
    (
        UnauthenticatedReason.MISSING,
        UnauthenticatedReason.MALFORMED,
        UnauthenticatedReason.UNKNOWN,
    )
)


def identify(call: Call, snapshot: Snapshot) -> Result[Identity, ClientError]:
    """Return the identity of the customer whose key the call carries.

    A public route is served without a key; a call with a valid key still counts for its customer.
    """
    authenticated = authenticate(call, snapshot)
    if authenticated.is_ok():
        return Ok(authenticated.unwrap())
    failure = authenticated.unwrap_err()
    if failure.reason in IGNORED_ON_PUBLIC_ROUTES and is_public_route(call, snapshot):
        return Ok(anonymous())
    return Err(ClientError(failure.status, failure.reason.value, failure.detail))


def parse_request(
    call: Call, identity: Identity, snapshot: Snapshot, request_id: str, now: float
) -> Result[Request, ClientError]:
    """Validate a call against the configuration and return the request."""
    if call.path in MODEL_PATHS:
        if call.method != "POST":
            return Err(ClientError(405, "bad-method", "Only POST is allowed here."))
        return parse_model_request(call, identity, snapshot, request_id, now)
    if not split_service_path(call.path)[0]:
        return Err(ClientError(404, "unknown-path", "No such path."))
    return parse_service_request(call, identity, snapshot, request_id, now)


def is_public_route(call: Call, snapshot: Snapshot) -> bool:
    """Return whether the call's route is served without a key."""
    service, path = split_service_path(call.path)
    route = snapshot.route_of(service, call.method, path) if service else None
    return route is not None and route.open
