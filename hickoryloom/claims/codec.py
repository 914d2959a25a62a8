"""JSON encoding of claims, and digests for their keys and calls."""

from __future__ import annotations

import base64
import hashlib
from typing import Any

import attrs

from hickoryloom.claims.messages import ClaimRecord, ClaimState, StoredResponse
from hickoryloom.http import Call

__all__ = ["CLAIM_PREFIX", "claim_key", "digest_call", "record_from_json", "record_to_json"]

CLAIM_PREFIX = "claims/"
DIGEST_CHARACTERS = 32


def claim_key(customer: str, service: str, idempotency_key: str) -> str:
    """Return the key of the claim's object."""
    return CLAIM_PREFIX + _digest(customer.encode(), service.encode(), idempotency_key.encode())


def digest_call(call: Call) -> str:
    """Return a digest that distinguishes calls with the same idempotency key."""
    return _digest(call.method.encode(), call.path.encode(), call.query.encode(), call.body)


def record_to_json(record: ClaimRecord) -> dict[str, Any]:
    """Encode a claim as a JSON value."""
    value = attrs.asdict(record, recurse=False)
    value["state"] = record.state.value
    if record.answer is None:
        del value["answer"]
    else:
        value["answer"] = {
            "status": record.answer.status,
            "headers": [list(header) for header in record.answer.headers],
            "body": base64.b64encode(record.answer.body).decode(),
            "kept": record.answer.kept,
        }
    return value


def record_from_json(value: Any) -> ClaimRecord:
    """Decode a claim from a JSON value.

    Raises:
        AttributeError, KeyError, TypeError, ValueError: The value is not a valid claim.
    """
    stored = value.get("answer")
    answer = None
    if stored is not None:
        headers = tuple((str(name), str(text)) for name, text in stored["headers"])
        body = base64.b64decode(stored["body"])
        answer = StoredResponse(int(stored["status"]), headers, body, bool(stored["kept"]))
    return ClaimRecord(
        state=ClaimState(value["state"]),
        attempt=str(value["attempt"]),
        owner=str(value["owner"]),
        call_digest=str(value["call_digest"]),
        changed=float(value["changed"]),
        epoch=int(value["epoch"]),
        answer=answer,
    )


def _digest(*parts: bytes) -> str:
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()[:DIGEST_CHARACTERS]
