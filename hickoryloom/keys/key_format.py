"""The form of callers' keys, and how to find one in whatever encoding it stands."""

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
KEY = re.compile(rf"{KEY_PREFIX}[0-9A-Za-z]{{{SECRET_CHARS}}}")

# A part of a key this long is removed as well; what is left of a shorter one can't be guessed.
SHORTEST_PART_CHARS = 12
WINDOW_STEP_CHARS = SHORTEST_PART_CHARS // 2

# The encodings of "hlk_" in base64 at each of the three alignments, with the distance from the
# start of the group of four that each begins in.
BASE64_SIGNS = ((b"aGxrX", 0), (b"hsa1", 2), (b"obGtf", 3))
BASE64_SKIPPED = re.compile(rb"(?:[\r\n\t ]|\\[rnt]|%0[AaDd9])+")
BASE64_CHARS = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/-_")
BASE64_CHARS_NEEDED = 4 * ((3 + len(KEY_PREFIX) + SECRET_CHARS) // 3 + 1)


def new_key() -> str:
    """Return a new key of 256 random bits."""
    return KEY_PREFIX + "".join(secrets.choice(ALPHABET) for _ in range(SECRET_CHARS))


def is_key(text: str) -> bool:
    """Return whether `text` as a whole has the form of a key."""
    return KEY.fullmatch(text) is not None


def hash_key(key: str) -> str:
    """Return the hash by which the configuration knows a key."""
    return sha256(key.encode()).hexdigest()


def find_keys(data: bytes, known: tuple[str, ...] = ()) -> list[tuple[int, int]]:
    """Return where keys, or long parts of them, stand in `data`.

    Found are keys as they are, percent-encoded (also repeatedly), escaped as in JSON, in UTF-16
    and in base64, and parts of `known` keys.

    Args:
        data: Bytes of a header, query, path or body.
        known: Keys that came with the call.

    Returns:
        Half-open ranges of positions, in order and apart from each other.
    """
    spans = [match.span() for match in _ENCODED_KEY.finditer(data)] if _may_hold(data) else []
    spans.extend(_find_base64(data))
    for key in known:
        spans.extend(_find_parts(data, key))
    return _merge(spans)


def _may_hold(data: bytes) -> bool:
    return b"hlk_" in data or b"%" in data or b"\\u00" in data or b"\x00" in data


def _encoded(literal: str, hexadecimal: str) -> str:
    return rf"(?:{literal}|%(?:25)*(?:{hexadecimal})|\\+u00(?:{hexadecimal}))\x00{{0,3}}"


def _encoded_key() -> re.Pattern[bytes]:
    prefix = "".join(
        (
            _encoded("h", "68"),
            _encoded("l", "6[cC]"),
            _encoded("k", "6[bB]"),
            _encoded("_", "5[fF]"),
        )
    )
    unit = _encoded("[0-9A-Za-z]", "3[0-9]|[46][1-9A-Fa-f]|[57][0-9Aa]")
    return re.compile(f"{prefix}(?:{unit}){{{SHORTEST_PART_CHARS},}}".encode())


_ENCODED_KEY = _encoded_key()


def _find_base64(data: bytes) -> Iterator[tuple[int, int]]:
    for sign, distance in BASE64_SIGNS:
        at = data.find(sign)
        while at >= 0:
            span = _decode_base64(data, at, distance)
            if span is not None:
                yield span
            at = data.find(sign, at + 1)


def _decode_base64(data: bytes, at: int, distance: int) -> tuple[int, int] | None:
    characters = [data[at - distance : at]] if distance else []
    if distance and (at < distance or not BASE64_CHARS.issuperset(characters[0])):
        characters = [b"A" * distance]
    start, end = max(0, at - distance), at
    count = distance
    while end < len(data) and count < BASE64_CHARS_NEEDED:
        if data[end] in BASE64_CHARS:
            characters.append(data[end : end + 1])
            count += 1
            end += 1
        elif skipped := BASE64_SKIPPED.match(data, end):
            end = skipped.end()
        else:
            break
    text = b"".join(characters).replace(b"-", b"+").replace(b"_", b"/")
    decoded = base64.b64decode(text[: len(text) // 4 * 4] + _tail(text))
    return (start, end) if _ENCODED_KEY.search(decoded) else None


def _tail(text: bytes) -> bytes:
    rest = text[len(text) // 4 * 4 :]
    return rest + b"=" * (4 - len(rest)) if len(rest) > 1 else b""


def _find_parts(data: bytes, key: str) -> Iterator[tuple[int, int]]:
    secret = key.encode()
    for offset in range(0, len(secret) - SHORTEST_PART_CHARS + 1, WINDOW_STEP_CHARS):
        window = secret[offset : offset + SHORTEST_PART_CHARS]
        at = data.find(window)
        while at >= 0:
            yield _grow(data, at, secret, offset)
            at = data.find(window, at + 1)


def _grow(data: bytes, at: int, secret: bytes, offset: int) -> tuple[int, int]:
    start, end = at, at + SHORTEST_PART_CHARS
    left, right = offset, offset + SHORTEST_PART_CHARS
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
