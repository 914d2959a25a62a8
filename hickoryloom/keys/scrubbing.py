"""Removes callers' keys from what is passed on or written down."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from hickoryloom.http import Call
from hickoryloom.keys.authenticating import CREDENTIAL_HEADERS, presented_keys
from hickoryloom.keys.key_format import find_keys
from hickoryloom.keys.messages import Identity

__all__ = ["redact", "scrub"]

FILL = "x"


def scrub(call: Call, identity: Identity) -> Call:
    """Return the call without any caller's key, the one it was authenticated by or another.

    Headers and query fields that hold a key are dropped, with all others of their name; in path
    and body a key is overwritten in place, so that lengths stay.

    Args:
        call: The caller's call.
        identity: Who it runs for.

    Returns:
        The call as a backend server may see it, without credentials.
    """
    known = presented_keys(call)
    return attrs.evolve(
        call,
        path=_overwrite_text(call.path, known),
        query=_scrub_query(call.query, known),
        headers=_scrub_headers(call.headers, known),
        body=_overwrite(call.body, known),
    )


def redact(text: str) -> str:
    """Return a text for a log or message with every key overwritten."""
    return _overwrite_text(text, ())


def _scrub_headers(
    headers: tuple[tuple[str, str], ...], known: tuple[str, ...]
) -> tuple[tuple[str, str], ...]:
    kept = [(name, value) for name, value in headers if name.lower() not in CREDENTIAL_HEADERS]
    dropped = _names_with_keys(kept, known)
    return tuple((name, value) for name, value in kept if name.lower() not in dropped)


def _names_with_keys(pairs: Iterable[tuple[str, str]], known: tuple[str, ...]) -> set[str]:
    values: dict[str, list[str]] = {}
    for name, value in pairs:
        values.setdefault(name.lower(), []).append(value)
    return {
        name
        for name, found in values.items()
        if any(_holds_key(text, known) for text in (name, *found, "".join(found)))
    }


def _scrub_query(query: str, known: tuple[str, ...]) -> str:
    fields = query.split("&")
    pairs = [(field.partition("=")[0], field.partition("=")[2]) for field in fields]
    dropped = _names_with_keys(pairs, known)
    kept = [
        field for field, (name, _) in zip(fields, pairs, strict=True) if name.lower() not in dropped
    ]
    text = "&".join(kept)
    return "" if _holds_key(text, known) else text


def _holds_key(text: str, known: tuple[str, ...]) -> bool:
    return bool(find_keys(_to_bytes(text), known))


def _overwrite_text(text: str, known: tuple[str, ...]) -> str:
    return _overwrite(_to_bytes(text), known).decode("utf-8", "surrogateescape")


def _overwrite(data: bytes, known: tuple[str, ...]) -> bytes:
    spans = find_keys(data, known)
    if not spans:
        return data
    cleaned = bytearray(data)
    for start, end in spans:
        cleaned[start:end] = FILL.encode() * (end - start)
    return bytes(cleaned)


def _to_bytes(text: str) -> bytes:
    return text.encode("utf-8", "surrogateescape")
