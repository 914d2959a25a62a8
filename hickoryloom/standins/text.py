"""The engine stand-in's answers: a function of the request alone."""

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
    """Return the whole prompt of a chat or text completion as one text."""
    if "prompt" in body:
        return str(body["prompt"])
    messages = body.get("messages") or []
    return "\n".join(str(message.get("content", "")) for message in messages)


def prompt_tokens(body: dict[str, Any]) -> int:
    """Return the length of the prompt in tokens."""
    return max(1, len(prompt_text(body)) // CHARACTERS_PER_TOKEN)


def prefix_hash(body: dict[str, Any]) -> str:
    """Return the hash that cache events name the head of the prompt by."""
    head = prompt_text(body)[:PREFIX_CHARACTERS]
    return hashlib.sha256(head.encode()).hexdigest()[:16]


def answer_tokens(body: dict[str, Any]) -> list[str]:
    """Return the tokens of the answer to a request; their text is the whole answer.

    Each token names the request and its position, so that a lost, doubled or foreign token shows.
    The length is `answer_tokens` of the body, if given, else follows from the request's digest
    and is at most `max_tokens`.
    """
    digest = _digest(body)
    limit = int(body.get("max_tokens") or DEFAULT_MAX_TOKENS)
    length = limit // 4 + int(digest[:8], 16) % (limit - limit // 4) + 1
    length = int(body.get("answer_tokens") or length)
    return [f"{digest[:6]}-{position} " for position in range(min(length, limit))]


def _digest(body: dict[str, Any]) -> str:
    kept = {name: value for name, value in body.items() if name not in IGNORED_FIELDS}
    return hashlib.sha256(json.dumps(kept, sort_keys=True).encode()).hexdigest()
