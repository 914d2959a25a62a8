"""Removes API keys from forwarded calls and from logs."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from hickoryloom.http import Call
from hickoryloom.keys.authenticating import CREDENTIAL_HEADERS, presented_keys
from hickoryloom.keys.key_format import find_keys
from hickoryloom.keys.messages import Identity

__all__ = ["redact", "scrub"]

FILLER = "x"


def scrub(call: Call, identity: Identity) -> Call:
    """Return the call without any API key, whether or not the call was authenticated with it.

    Headers and query fields that contain a key are removed along with all others of the same name.
    Keys in the path and the body are overwritten in place, which preserves the lengths.

    Args:
        call: The call as received.
        identity: The identity that it runs for.

    Returns:
        The call to forward to a backend server, without credentials.
    """
    known = presented_keys(call)
    return attrs.evolve(
        call,
        path=_redact_text(call.path, known),
        query=_scrub_query(call.query, known),
        headers=_scrub_headers(call.headers, known),
        body=_redact_bytes(call.body, known),
    )


def redact(text: str) -> str:
    """Return a text for a log or message with all keys overwritten."""
    return _redact_text(text, ())


def _scrub_headers(
    headers: tuple[tuple[str, str], ...], known: tuple[str, ...]
) -> tuple[tuple[str, str], ...]:
    kept = [(name, value) for name, value in headers if name.lower() not in CREDENTIAL_HEADERS]
    dropped = _names_of_fields_with_keys(kept, known)
    return tuple((name, value) for name, value in kept if name.lower() not in dropped)


def _names_of_fields_with_keys(
    pairs: Iterable[tuple[str, str]], known: tuple[str, ...]
) -> set[str]:
    values: dict[str, list[str]] = {}
    for name, value in pairs:
        values.setdefault(name.lower(), []).append(value)
    return {
        name
        for name, texts in values.items()
        if any(_contains_key(text, known) for text in (name, *texts, "".join(texts)))
    }


def _scrub_query(query: str, known: tuple[str, ...]) -> str:
    fields = query.split("&")
    pairs = [(field.partition("=")[0], field.partition("=")[2]) for field in fields]
    dropped = _names_of_fields_with_keys(pairs, known)
    kept = [
        field for field, (name, _) in zip(fields, pairs, strict=True) if name.lower() not in dropped
    ]
    text = "&".join(kept)
    return "" if _contains_key(text, known) else text


def _contains_key(text: str, known: tuple[str, ...]) -> bool:
    return bool(find_keys(_to_bytes(text), known))


def _redact_text(text: str, known: tuple[str, ...]) -> str:
    return _redact_bytes(_to_bytes(text), known).decode("utf-8", "surrogateescape")


def _redact_bytes(data: bytes, known: tuple[str, ...]) -> bytes:
    spans = find_keys(data, known)
    if not spans:
        return data
    cleaned = bytearray(data)
    for start, end in spans:
        cleaned[start:end] = FILLER.encode() * (end - start)
    return bytes(cleaned)


def _to_bytes(text: str) -> bytes:
    return text.encode("utf-8", "surrogateescape")
