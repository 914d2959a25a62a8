"""Decodes callers' requests."""

from __future__ import annotations

import re

from result import Err, Ok, Result

from hickoryloom.catalog import hash_key
from hickoryloom.gateway.messages import CallerRequest, Headers
from hickoryloom.placing import PromptPart

__all__ = ["PlatformCallers"]

MS_PER_S = 1000.0
ID = "attempt-id"
DEADLINE = "deadline-ms"
KEY = "x-api-key"
TOKENS = "token-count"
PREFIX = "prompt-prefix"
LAST_EVENT = "last-event-id"
PART = re.compile(r"\s*([0-9a-fA-F]+):(\d+)\s*")

SET_BY_GATEWAY = frozenset(
    (
        DEADLINE,
        KEY,
        LAST_EVENT,
        "duty-holder",
        "expect-replica",
        "expect-version",
        "fencing-token",
        "kv-backup",
        "kv-fetch",
        "kv-from",
        "kv-pin-ms",
        "kv-retention",
        "not-executed",
        "replica-id",
        "replica-load",
        "replica-signature",
        "request-priority",
        "tenant",
    )
)
"""Headers of which a caller's own value never reaches a backend server."""


class PlatformCallers:
    """Requests carry what the gateway needs to know in headers; bodies are opaque."""

    def read_request(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> Result[CallerRequest, str]:
        """Decode a request, or say what is wrong with it."""
        values = _single_values(headers)
        if isinstance(values, Err):
            return values
        found = values.ok_value
        wait = found.get(DEADLINE)
        if wait is not None and not wait.isdecimal():
            return Err(f"header {DEADLINE!r} is not a whole number")
        resume = found.get(LAST_EVENT)
        key = found.get(KEY)
        return Ok(
            CallerRequest(
                id=found.get(ID, ""),
                method=method,
                target=target,
                host=found.get("host", ""),
                headers=tuple(pair for pair in headers if pair[0] not in SET_BY_GATEWAY),
                body=body,
                wait_s=None if wait is None else int(wait) / MS_PER_S,
                key_hash="" if key is None else hash_key(key),
                prompt_tokens=_read_prompt_tokens(found.get(TOKENS)),
                prompt_parts=_read_parts(found.get(PREFIX, "")),
                resume_after=int(resume) if resume and resume.isdecimal() else None,
            )
        )


def _single_values(headers: Headers) -> Result[dict[str, str], str]:
    """Return each decoded header's value; one that comes twice could mean two things."""
    decoded = (ID, DEADLINE, KEY, TOKENS, PREFIX, LAST_EVENT, "host")
    found: dict[str, str] = {}
    for name, value in headers:
        if name not in decoded:
            continue
        if name in found:
            return Err(f"header {name!r} comes twice")
        found[name] = value
    return Ok(found)


def _read_prompt_tokens(value: str | None) -> int:
    """Return the tokens of the prompt, the first of two numbers; 0 when the value is unsound."""
    prompt, _, output = (value or "").partition(",")
    if prompt.strip().isdecimal() and output.strip().isdecimal():
        return int(prompt)
    return 0


def _read_parts(value: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in value.split(","):
        found = PART.fullmatch(entry)
        if found is None:
            break
        parts.append(PromptPart(found.group(1).lower(), int(found.group(2))))
    return tuple(parts)
