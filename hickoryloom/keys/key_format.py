"""Format of API keys and detection of keys in text, also in common encodings."""

from __future__ import annotations

import base64
import re
import secrets
import string
from collections.abc import Iterator
from hashlib import sha256

__all__ = ["find_keys", "hash_key", "is_key", "new_key"]

KEY_PREFIX = "hlk_"
SECRET_CHARS = 43
ALPHABET = string.digits + string.ascii_letters
KEY_PATTERN = re.compile(rf"{KEY_PREFIX}[0-9A-Za-z]{{{SECRET_CHARS}}}")

# Fragments of a key are removed too: with the prefix, if at least this many characters follow it.
# Without the prefix, a fragment of a known key is found if it contains one of the windows of this
# length that start `WINDOW_STEP_CHARS` apart, as any fragment of 17 characters does. The rest of a
# key can't be guessed from a shorter fragment.
MIN_FRAGMENT_CHARS = 12
WINDOW_STEP_CHARS = MIN_FRAGMENT_CHARS // 2

# The base64 encodings of "hlk_" at each of the three alignments, with the offset of each from the
# start of its group of four characters.
BASE64_MARKERS = ((b"aGxrX", 0), (b"hsa1", 2), (b"obGtf", 3))
BASE64_WHITESPACE = re.compile(rb"(?:[\r\n\t ]|\\[rnt]|%0[AaDd9])+")
BASE64_CHARS = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/-_")
MAX_BASE64_CHARS = 4 * ((3 + len(KEY_PREFIX) + SECRET_CHARS) // 3 + 1)


def new_key() -> str:
    """Return a new key with 256 random bits."""
    return KEY_PREFIX + "".join(secrets.choice(ALPHABET) for _ in range(SECRET_CHARS))


def is_key(text: str) -> bool:
    """Return whether the whole of `text` is a well-formed key."""
    return KEY_PATTERN.fullmatch(text) is not None


def hash_key(key: str) -> str:
    """Return the hash that identifies a key in the configuration."""
    return sha256(key.encode()).hexdigest()


def find_keys(data: bytes, known: tuple[str, ...] = ()) -> list[tuple[int, int]]:
    """Find keys and long fragments of keys in `data`.

    Keys are found as plain text, percent-encoded (also repeatedly), with JSON escapes, in UTF-16
    and in base64. Truncated keys are found too, and so is any long fragment of a `known` key.

    Args:
        data: Bytes of a header, query, path or body.
        known: Keys that the call presents.

    Returns:
        Sorted and disjoint half-open ranges of positions.
    """
    spans = (
        [match.span() for match in _ENCODED_KEY_PATTERN.finditer(data)]
        if _may_contain_key(data)
        else []
    )
    spans.extend(_find_base64(data))
    for key in known:
        spans.extend(_find_fragments(data, key))
    return _merge(spans)


def _may_contain_key(data: bytes) -> bool:
    return b"hlk_" in data or b"%" in data or b"\\u00" in data or b"\x00" in data


def _encoded_char_pattern(literal: str, hexadecimal: str) -> str:
    return rf"(?:{literal}|%(?:25)*(?:{hexadecimal})|\\+u00(?:{hexadecimal}))\x00{{0,3}}"


def _encoded_key_pattern() -> re.Pattern[bytes]:
    prefix = "".join(
        (
            _encoded_char_pattern("h", "68"),
            _encoded_char_pattern("l", "6[cC]"),
            _encoded_char_pattern("k", "6[bB]"),
            _encoded_char_pattern("_", "5[fF]"),
        )
    )
    key_char = _encoded_char_pattern("[0-9A-Za-z]", "3[0-9]|[46][1-9A-Fa-f]|[57][0-9Aa]")
    return re.compile(f"{prefix}(?:{key_char}){{{MIN_FRAGMENT_CHARS},}}".encode())


_ENCODED_KEY_PATTERN = _encoded_key_pattern()


def _find_base64(data: bytes) -> Iterator[tuple[int, int]]:
    for marker, offset in BASE64_MARKERS:
        at = data.find(marker)
        while at >= 0:
            span = _decode_base64(data, at, offset)
            if span is not None:
                yield span
            at = data.find(marker, at + 1)


def _decode_base64(data: bytes, at: int, offset: int) -> tuple[int, int] | None:
    characters = [data[at - offset : at]] if offset else []
    if offset and (at < offset or not BASE64_CHARS.issuperset(characters[0])):
        characters = [b"A" * offset]
    start, end = max(0, at - offset), at
    count = offset
    while end < len(data) and count < MAX_BASE64_CHARS:
        if data[end] in BASE64_CHARS:
            characters.append(data[end : end + 1])
            count += 1
            end += 1
        elif whitespace := BASE64_WHITESPACE.match(data, end):
            end = whitespace.end()
        else:
            break
    text = b"".join(characters).replace(b"-", b"+").replace(b"_", b"/")
    decoded = base64.b64decode(text[: len(text) // 4 * 4] + _pad_tail(text))
    return (start, end) if _ENCODED_KEY_PATTERN.search(decoded) else None


def _pad_tail(text: bytes) -> bytes:
    rest = text[len(text) // 4 * 4 :]
    return rest + b"=" * (4 - len(rest)) if len(rest) > 1 else b""


def _find_fragments(data: bytes, key: str) -> Iterator[tuple[int, int]]:
    secret = key.encode()
    for offset in range(0, len(secret) - MIN_FRAGMENT_CHARS + 1, WINDOW_STEP_CHARS):
        window = secret[offset : offset + MIN_FRAGMENT_CHARS]
        at = data.find(window)
        while at >= 0:
            yield _extend_match(data, at, secret, offset)
            at = data.find(window, at + 1)


def _extend_match(data: bytes, at: int, secret: bytes, offset: int) -> tuple[int, int]:
    start, end = at, at + MIN_FRAGMENT_CHARS
    left, right = offset, offset + MIN_FRAGMENT_CHARS
    while left and start and data[start - 1] == secret[left - 1]:
        start, left = start - 1, left - 1
    while right < len(secret) and end < len(data) and data[end] == secret[right]:
        end, right = end + 1, right + 1
    return start, end


def _merge(spans: list[tuple[int, int]]) -> list[tuple[int, int]]:
    merged: list[tuple[int, int]] = []
    for start, end in sorted(spans):
        if merged and start <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(end, merged[-1][1]))
        else:
            merged.append((start, end))
    return merged
