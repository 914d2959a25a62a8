"""Turns a caller's call into a typed request; pure."""

from __future__ import annotations

import hashlib
import json
from typing import Any

import attrs
from result import Err, Ok, Result

from hickoryloom.admission import Request
from hickoryloom.configuration import Customer, KeyRecord, Pool, RequestClass, Snapshot
from hickoryloom.entry.messages import CallerError
from hickoryloom.http import Call

__all__ = [
    "CLASS_HEADER",
    "MODEL_PATHS",
    "SERVICE_PREFIX",
    "Caller",
    "parse_model_request",
    "parse_service_request",
]

MODEL_PATHS = ("/v1/chat/completions", "/v1/completions")
SERVICE_PREFIX = "/services/"
CLASS_HEADER = "x-request-class"
IDEMPOTENCY_HEADER = "idempotency-key"
MAX_IDEMPOTENCY_KEY_CHARACTERS = 200
MAX_JSON_DEPTH_ERROR = "The body is nested too deeply."
BYTES_PER_TOKEN = 4
PREFIX_CHARACTERS = 2048
MS_PER_S = 1000.0


@attrs.frozen
class Caller:
    """Who sent a call: a customer's key, or nobody on a route open to all."""

    customer: Customer | None
    key: KeyRecord | None


def parse_model_request(
    call: Call, caller: Caller, snapshot: Snapshot, request_id: str, now: float
) -> Result[Request, CallerError]:
    """Check a chat or text completion.

    Args:
        call: The call, method `POST`, path one of `MODEL_PATHS`.
        caller: Who sent it.
        snapshot: Configuration in force.
        request_id: Id for the request.
        now: Monotonic time of arrival, in seconds.

    Returns:
        The request, or what is wrong with it.
    """
    parsed = _parse_object(call.body)
    if isinstance(parsed, Err):
        return parsed
    body = parsed.ok_value
    fault = _check_model_body(call.path, body)
    if fault is not None:
        return Err(fault)
    pool = snapshot.pool_for_model(body["model"])
    if pool is None or not _may_call(caller, body["model"], pool, snapshot):
        return Err(CallerError(404, "unknown-model", "No such model for this key."))
    chosen = _choose_class(call, caller, snapshot)
    if isinstance(chosen, Err):
        return chosen
    return Ok(
        Request(
            id=request_id,
            customer=caller.customer.name if caller.customer else "",
            service=body["model"],
            pool=pool.name,
            request_class=chosen.ok_value.name,
            tier=chosen.ok_value.tier,
            idempotent=True,
            arrived=now,
            deadline=now + chosen.ok_value.first_token_ms / MS_PER_S,
            prompt_tokens=len(call.body) // BYTES_PER_TOKEN + 1,
            max_tokens=body.get("max_tokens") or 0,
            prefix_hash=_hash_prefix(body),
            stream=bool(body.get("stream", False)),
        )
    )


def parse_service_request(
    call: Call, service: str, path: str, caller: Caller, snapshot: Snapshot, now: float, **ids: str
) -> Result[Request, CallerError]:
    """Check a call of a plain service.

    Args:
        call: The call.
        service: Service's name.
        path: Path below the service, with a leading slash.
        caller: Who sent it.
        snapshot: Configuration in force.
        now: Monotonic time of arrival, in seconds.
        **ids: `request_id`, the id for the request.

    Returns:
        The request, or what is wrong with it.
    """
    route = snapshot.route_of(service, call.method, path)
    if route is None or not _may_call_service(caller, service):
        return Err(CallerError(404, "unknown-route", "No such call of this service."))
    key = call.header(IDEMPOTENCY_HEADER)
    if not route.idempotent and not key:
        return Err(CallerError(400, "no-idempotency-key", "This call needs an Idempotency-Key."))
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARACTERS:
        allowed = f"at most {MAX_IDEMPOTENCY_KEY_CHARACTERS} characters"
        return Err(CallerError(400, "bad-idempotency-key", f"Idempotency-Key: {allowed}."))
    chosen = _choose_class(call, caller, snapshot)
    if isinstance(chosen, Err):
        return chosen
    request_class = chosen.ok_value
    return Ok(
        Request(
            id=ids["request_id"],
            customer=caller.customer.name if caller.customer else "",
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


def _parse_object(body: bytes) -> Result[dict[str, Any], CallerError]:
    try:
        parsed = json.loads(body)
    except RecursionError:
        return Err(CallerError(400, "bad-json", MAX_JSON_DEPTH_ERROR))
    except ValueError as error:
        return Err(CallerError(400, "bad-json", f"The body is not JSON: {type(error).__name__}."))
    if not isinstance(parsed, dict):
        return Err(CallerError(400, "bad-json", "The body must be a JSON object."))
    return Ok(parsed)


def _check_model_body(path: str, body: dict[str, Any]) -> CallerError | None:
    model = body.get("model")
    if not isinstance(model, str) or not model:
        return CallerError(400, "bad-model", "`model` must be a non-empty string.")
    if path.endswith("/chat/completions"):
        messages = body.get("messages")
        if not isinstance(messages, list) or not all(isinstance(one, dict) for one in messages):
            return CallerError(400, "bad-messages", "`messages` must be a list of objects.")
    elif not isinstance(body.get("prompt"), str):
        return CallerError(400, "bad-prompt", "`prompt` must be a string.")
    limit = body.get("max_tokens", 0)
    if limit is not None and (type(limit) is not int or limit < 0):
        return CallerError(400, "bad-max-tokens", "`max_tokens` must be a whole number from 0 up.")
    if type(body.get("stream", False)) is not bool:
        return CallerError(400, "bad-stream", "`stream` must be true or false.")
    if "resume" in body:
        return CallerError(400, "bad-field", "`resume` is not for callers.")
    return None


def _may_call(caller: Caller, model: str, pool: Pool, snapshot: Snapshot) -> bool:
    customer = caller.customer
    if customer is None:
        return False
    if not customer.services or model in customer.services:
        return True
    return any(
        snapshot.services[name].pool == pool.name
        for name in customer.services
        if name in snapshot.services
    )


def _may_call_service(caller: Caller, service: str) -> bool:
    customer = caller.customer
    return customer is None or not customer.services or service in customer.services


def _choose_class(
    call: Call, caller: Caller, snapshot: Snapshot
) -> Result[RequestClass, CallerError]:
    asked = call.header(CLASS_HEADER)
    if caller.customer is None:
        return Ok(lowest_class(snapshot))
    if asked and asked not in caller.customer.classes:
        return Err(CallerError(403, "class-not-allowed", "The customer may not use this class."))
    default = caller.key.request_class if caller.key else ""
    name = asked or default or caller.customer.classes[0]
    if name not in snapshot.classes:
        return Err(CallerError(403, "class-not-allowed", "The class is no longer configured."))
    return Ok(snapshot.classes[name])


def lowest_class(snapshot: Snapshot) -> RequestClass:
    """Return the class of callers without a key: the lowest tier's, first by name."""
    return max(snapshot.classes.values(), key=lambda found: (found.tier, found.name))


def _hash_prefix(body: dict[str, Any]) -> str:
    """Hash the head of the prompt, which engines cache together with the model."""
    if "messages" in body:
        head = "\x00".join(str(message.get("content", "")) for message in body["messages"])
    else:
        head = body["prompt"]
    text = f"{body['model']}\x00{head[:PREFIX_CHARACTERS]}"
    return hashlib.blake2b(text.encode("utf-8", "surrogatepass"), digest_size=8).hexdigest()
