"""Decodes requests of callers."""

from __future__ import annotations

import re

from result import Err, Ok, Result

from hickoryloom.catalog import hash_key
from hickoryloom.gateway.messages import CallerRequest, Headers
from hickoryloom.placing import PromptSegment

__all__ = ["PlatformCallers"]

MS_PER_S = 1000.0
ID_HEADER = "attempt-id"
DEADLINE_HEADER = "deadline-ms"
KEY_HEADER = "x-api-key"
TOKENS_HEADER = "token-count"
PREFIX_HEADER = "prompt-prefix"
LAST_EVENT_HEADER = "last-event-id"
RESUMES_HEADER = "resumes"
MAX_ID_CHARS = 200
NUMBER = re.compile(r"[0-9]{1,15}")
PREFIX_PART = re.compile(r"\s*([0-9a-fA-F]+):([0-9]{1,15})\s*")

GATEWAY_HEADERS = frozenset(
    (
        DEADLINE_HEADER,
        KEY_HEADER,
        LAST_EVENT_HEADER,
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
"""Headers that are never forwarded to a backend server with the value sent by a caller."""


class PlatformCallers:
    """Requests carry all routing information in headers; the bodies are opaque."""

    def read_request(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> Result[CallerRequest, str]:
        """Decode a request, or return what is wrong with it."""
        values = _single_values(headers)
        if isinstance(values, Err):
            return values
        known = values.ok_value
        deadline = known.get(DEADLINE_HEADER)
        if deadline is not None and not NUMBER.fullmatch(deadline):
            return Err(f"header {DEADLINE_HEADER!r} is not a whole number of up to 15 digits")
        last_event = known.get(LAST_EVENT_HEADER)
        key = known.get(KEY_HEADER)
        prompt_tokens, output_tokens = _read_tokens(known.get(TOKENS_HEADER))
        return Ok(
            CallerRequest(
                id=known.get(ID_HEADER, ""),
                method=method,
                target=target,
                host=known.get("host", ""),
                headers=tuple(pair for pair in headers if pair[0] not in GATEWAY_HEADERS),
                body=body,
                caller_timeout_s=None if deadline is None else int(deadline) / MS_PER_S,
                key_hash="" if key is None else hash_key(key),
                prompt_tokens=prompt_tokens,
                output_tokens=output_tokens,
                prompt_segments=_read_parts(known.get(PREFIX_HEADER, "")),
                resume_after=_read_number(last_event),
                resumes=known.get(RESUMES_HEADER, "").strip()[:MAX_ID_CHARS],
            )
        )


def _single_values(headers: Headers) -> Result[dict[str, str], str]:
    """Return the value of each decoded header; a repeated header is rejected as ambiguous."""
    names = (
        ID_HEADER,
        DEADLINE_HEADER,
        KEY_HEADER,
        TOKENS_HEADER,
        PREFIX_HEADER,
        LAST_EVENT_HEADER,
        RESUMES_HEADER,
        "host",
    )
    values: dict[str, str] = {}
    for name, value in headers:
        if name not in names:
            continue
        if name in values:
            return Err(f"header {name!r} comes twice")
        values[name] = value
    return Ok(values)


def _read_tokens(value: str | None) -> tuple[int, int]:
    """Return the tokens of the prompt and the most of the response; 0 if the value is malformed."""
    prompt, _, output = (value or "").partition(",")
    prompt_tokens, output_tokens = _read_number(prompt.strip()), _read_number(output.strip())
    if prompt_tokens is None or output_tokens is None:
        return 0, 0
    return prompt_tokens, output_tokens


def _read_number(value: str | None) -> int | None:
    """Return a whole number of up to 15 digits; None for any other value."""
    return int(value) if value is not None and NUMBER.fullmatch(value) else None


def _read_parts(value: str) -> tuple[PromptSegment, ...]:
    parts = []
    for item in value.split(","):
        match = PREFIX_PART.fullmatch(item)
        if match is None:
            break
        parts.append(PromptSegment(match.group(1).lower(), int(match.group(2))))
    return tuple(parts)
