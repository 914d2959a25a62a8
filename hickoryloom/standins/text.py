"""Text that the engine stand-in generates, derived from the request body alone."""

from __future__ import annotations

import hashlib
import json
from typing import Any

__all__ = ["answer_tokens", "prefix_hash", "prompt_text", "prompt_tokens"]

DEFAULT_MAX_TOKENS = 64
CHARACTERS_PER_TOKEN = 4
PREFIX_CHARACTERS = 1024
IGNORED_FIELDS = frozenset({"stream", "stream_options", "resume"})


def prompt_text(body: dict[str, Any]) -> str:
    """Return the prompt of a chat or text completion as one string."""
    if "prompt" in body:
        return str(body["prompt"])
    messages = body.get("messages") or []
    return "\n".join(str(message.get("content", "")) for message in messages)


def prompt_tokens(body: dict[str, Any]) -> int:
    """Estimate the length of the prompt in tokens."""
    return max(1, len(prompt_text(body)) // CHARACTERS_PER_TOKEN)


def prefix_hash(body: dict[str, Any]) -> str:
    """Return the hash that identifies the prompt prefix in cache events."""
    prefix = prompt_text(body)[:PREFIX_CHARACTERS]
    return hashlib.sha256(prefix.encode()).hexdigest()[:16]


def answer_tokens(body: dict[str, Any]) -> list[str]:
    """Return the tokens that the engine generates; joined, they are the complete text.

    Each token contains a digest of the request and its own position, so that tests detect missing
    and duplicate tokens and tokens of another request. The number of tokens is `answer_tokens` of
    the body if given, otherwise it is derived from the digest; it never exceeds `max_tokens`.
    """
    digest = _digest(body)
    limit = int(body.get("max_tokens") or DEFAULT_MAX_TOKENS)
    length = limit // 4 + int(digest[:8], 16) % (limit - limit // 4) + 1
    length = int(body.get("answer_tokens") or length)
    return [f"{digest[:6]}-{position} " for position in range(min(length, limit))]


def _digest(body: dict[str, Any]) -> str:
    relevant = {name: value for name, value in body.items() if name not in IGNORED_FIELDS}
    return hashlib.sha256(json.dumps(relevant, sort_keys=True).encode()).hexdigest()
