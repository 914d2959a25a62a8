"""Parses and validates HTTP calls into typed requests, without side effects."""

from __future__ import annotations

import hashlib
import json
from typing import Any

from result import Err, Ok, Result

from hickoryloom.admission import Request
from hickoryloom.configuration import Pool, RequestClass, Snapshot
from hickoryloom.entry.messages import ClientError
from hickoryloom.http import Call
from hickoryloom.keys import Identity

__all__ = [
    "CLASS_HEADER",
    "MODEL_PATHS",
    "SERVICE_PREFIX",
    "allowed_models",
    "parse_model_request",
    "parse_service_request",
    "split_service_path",
]

MODEL_PATHS = ("/v1/chat/completions", "/v1/completions")
SERVICE_PREFIX = "/services/"
CLASS_HEADER = "x-request-class"
IDEMPOTENCY_HEADER = "idempotency-key"
MAX_IDEMPOTENCY_KEY_CHARACTERS = 200
BYTES_PER_TOKEN = 4
PREFIX_CHARACTERS = 1024
PREFIX_HASH_CHARACTERS = 16
MS_PER_S = 1000.0


def parse_model_request(
    call: Call, identity: Identity, snapshot: Snapshot, request_id: str, now: float
) -> Result[Request, ClientError]:
    """Parse a chat or text completion call.

    Args:
        call: The HTTP call; its method is `POST` and its path one of `MODEL_PATHS`.
        identity: Identity of the caller.
        snapshot: Configuration in force.
        request_id: Id for the request.
        now: Monotonic time of arrival, in seconds.

    Returns:
        The request, or the client error.
    """
    parsed = _parse_object(call.body)
    if isinstance(parsed, Err):
        return parsed
    body = parsed.ok_value
    error = _check_model_body(call.path, body)
    if error is not None:
        return Err(error)
    pool = snapshot.pool_for_model(body["model"])
    if pool is None or not _may_call_model(identity, body["model"], pool, snapshot):
        return Err(ClientError(404, "unknown-model", "No such model for this key."))
    chosen_class = _choose_class(call, identity, snapshot)
    if isinstance(chosen_class, Err):
        return chosen_class
    prompt = _read_prompt(body)
    return Ok(
        Request(
            id=request_id,
            customer=identity.customer.name,
            service=body["model"],
            pool=pool.name,
            request_class=chosen_class.ok_value.name,
            tier=chosen_class.ok_value.tier,
            idempotent=True,
            arrived=now,
            deadline=now + chosen_class.ok_value.first_token_ms / MS_PER_S,
            prompt_tokens=len(call.body) // BYTES_PER_TOKEN + 1,
            max_tokens=body.get("max_tokens") or 0,
            prefix_hash=_hash_text(prompt[:PREFIX_CHARACTERS]),
            prompt_hash=_hash_text(prompt),
            stream=bool(body.get("stream", False)),
        )
    )


def parse_service_request(
    call: Call, identity: Identity, snapshot: Snapshot, request_id: str, now: float
) -> Result[Request, ClientError]:
    """Parse a call of a service.

    Args:
        call: The HTTP call; its path starts with `SERVICE_PREFIX`.
        identity: Identity of the caller.
        snapshot: Configuration in force.
        request_id: Id for the request.
        now: Monotonic time of arrival, in seconds.

    Returns:
        The request, or the client error.
    """
    service, path = split_service_path(call.path)
    route = snapshot.route_of(service, call.method, path)
    if route is None or not _may_call_service(identity, service):
        return Err(ClientError(404, "unknown-route", "No such call of this service."))
    key = call.header(IDEMPOTENCY_HEADER)
    if not route.idempotent and not key:
        return Err(ClientError(400, "no-idempotency-key", "This call needs an Idempotency-Key."))
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARACTERS:
        allowed = f"at most {MAX_IDEMPOTENCY_KEY_CHARACTERS} characters"
        return Err(ClientError(400, "bad-idempotency-key", f"Idempotency-Key: {allowed}."))
    chosen_class = _choose_class(call, identity, snapshot)
    if isinstance(chosen_class, Err):
        return chosen_class
    request_class = chosen_class.ok_value
    return Ok(
        Request(
            id=request_id,
            customer=identity.customer.name,
            service=service,
            pool=snapshot.services[service].pool,
            request_class=request_class.name,
            tier=request_class.tier,
            idempotent=route.idempotent,
            arrived=now,
            deadline=now + (request_class.answer_ms or request_class.first_token_ms) / MS_PER_S,
            prompt_tokens=len(call.body) // BYTES_PER_TOKEN + 1,
            idempotency_key="" if route.idempotent else key,
        )
    )


def split_service_path(path: str) -> tuple[str, str]:
    """Return the service name and the path below it; the name is empty for other paths."""
    if not path.startswith(SERVICE_PREFIX):
        return "", ""
    service, slash, rest = path[len(SERVICE_PREFIX) :].partition("/")
    return service, slash + rest if slash else "/"


def _parse_object(body: bytes) -> Result[dict[str, Any], ClientError]:
    try:
        parsed = json.loads(body)
    except RecursionError:
        return Err(ClientError(400, "bad-json", "The body is nested too deeply."))
    except ValueError as error:
        return Err(ClientError(400, "bad-json", f"The body is not JSON: {type(error).__name__}."))
    if not isinstance(parsed, dict):
        return Err(ClientError(400, "bad-json", "The body must be a JSON object."))
    return Ok(parsed)


def _check_model_body(path: str, body: dict[str, Any]) -> ClientError | None:
    model = body.get("model")
    if not isinstance(model, str) or not model:
        return ClientError(400, "bad-model", "`model` must be a non-empty string.")
    if path.endswith("/chat/completions"):
        messages = body.get("messages")
        if not isinstance(messages, list) or not all(isinstance(one, dict) for one in messages):
            return ClientError(400, "bad-messages", "`messages` must be a list of objects.")
    elif not isinstance(body.get("prompt"), str):
        return ClientError(400, "bad-prompt", "`prompt` must be a string.")
    limit = body.get("max_tokens", 0)
    if limit is not None and (type(limit) is not int or limit < 0):
        return ClientError(400, "bad-max-tokens", "`max_tokens` must be a whole number from 0 up.")
    if type(body.get("stream", False)) is not bool:
        return ClientError(400, "bad-stream", "`stream` must be true or false.")
    if "resume" in body:
        return ClientError(400, "bad-field", "`resume` is not for callers.")
    return None


def allowed_models(identity: Identity, snapshot: Snapshot) -> list[str]:
    """Return the names of the models that a caller may use, sorted."""
    pools = [pool for pool in snapshot.pools.values() if pool.model]
    return sorted(
        pool.model for pool in pools if _may_call_model(identity, pool.model, pool, snapshot)
    )


def _may_call_model(identity: Identity, model: str, pool: Pool, snapshot: Snapshot) -> bool:
    customer = identity.customer
    if identity.is_anonymous:
        return False
    if not customer.services or model in customer.services:
        return True
    return any(
        snapshot.services[name].pool == pool.name
        for name in customer.services
        if name in snapshot.services
    )


def _may_call_service(identity: Identity, service: str) -> bool:
    allowed = identity.customer.services
    return not allowed or service in allowed


def _choose_class(
    call: Call, identity: Identity, snapshot: Snapshot
) -> Result[RequestClass, ClientError]:
    requested = call.header(CLASS_HEADER)
    if identity.is_anonymous:
        return _choose_public_class(snapshot)
    if requested and requested not in identity.customer.classes:
        return Err(ClientError(403, "class-not-allowed", "The customer may not use this class."))
    name = requested or identity.default_class
    if name not in snapshot.classes:
        return Err(ClientError(403, "class-not-allowed", "The class is no longer configured."))
    return Ok(snapshot.classes[name])


def _choose_public_class(snapshot: Snapshot) -> Result[RequestClass, ClientError]:
    """Return the class of callers without a key: of the lowest tier, the last by name."""
    if not snapshot.classes:
        return Err(ClientError(404, "unknown-route", "No such call of this service."))
    return Ok(
        max(snapshot.classes.values(), key=lambda candidate: (candidate.tier, candidate.name))
    )


def _read_prompt(body: dict[str, Any]) -> str:
    if "messages" in body:
        return "\n".join(str(message.get("content", "")) for message in body["messages"])
    return str(body["prompt"])


def _hash_text(text: str) -> str:
    """Hash the start of a prompt, or a whole one, as engines do for their cache events."""
    digest = hashlib.sha256(text.encode("utf-8", "surrogatepass")).hexdigest()
    return digest[:PREFIX_HASH_CHARACTERS]
