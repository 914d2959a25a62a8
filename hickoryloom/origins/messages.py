"""The origin of a stream, and the datagrams that carry it."""

from __future__ import annotations

import json
from base64 import urlsafe_b64encode
from hashlib import blake2b

import attrs
import cattrs
from result import Err, Ok, Result

__all__ = ["Ask", "Keep", "Message", "Origin", "Told", "decode", "encode", "origin_key"]

KEY_BYTES = 12
MAX_TEXT_CHARS = 200


@attrs.frozen
class Origin:
    """Where the first event of a stream came from.

    Attributes:
        service: The service.
        server: Id of the backend server.
        software: Version of its software; empty if it is not certain.
    """

    service: str
    server: str
    software: str

    @property
    def is_bounded(self) -> bool:
        """Whether its texts are short enough for a message."""
        return all(len(text) <= MAX_TEXT_CHARS for text in attrs.astuple(self))


@attrs.frozen
class Keep:
    """Asks the receiver to keep an origin."""

    key: str
    origin: Origin
    age_s: float


@attrs.frozen
class Ask:
    """Asks the receiver for an origin.

    Attributes:
        key: Key of the stream.
        address: `host:port` to which the answer goes.
        number: Number of the question, which the answer repeats.
    """

    key: str
    address: str
    number: int


@attrs.frozen
class Told:
    """The answer to a question; the origin is None if the sender doesn't know it.

    Attributes:
        number: Number of the question.
        origin: The origin.
        age_s: Seconds since the first event of the stream.
        process: Id of the sender if it would know each stream that it has begun within a stream's
            lifetime; empty otherwise.
    """

    number: int
    origin: Origin | None
    age_s: float = 0.0
    process: str = ""


Message = Keep | Ask | Told
_KINDS: dict[str, type[Message]] = {"keep": Keep, "ask": Ask, "told": Told}
_NAMES = {kind: name for name, kind in _KINDS.items()}


def origin_key(customer: str, request_id: str) -> str:
    """Return a bounded key of a stream that its customer alone can name."""
    text = f"{customer}\0{request_id}".encode("utf-8", "surrogateescape")
    return urlsafe_b64encode(blake2b(text, digest_size=KEY_BYTES).digest()).decode()


def encode(message: Message) -> bytes:
    """Return the datagram of a message: a JSON array of its kind and its fields."""
    fields = cattrs.unstructure(message)
    return json.dumps([_NAMES[type(message)], fields], separators=(",", ":")).encode()


def decode(data: bytes) -> Result[Message, str]:
    """Decode a datagram; return an error message if it is invalid."""
    try:
        name, fields = json.loads(data)
        message = cattrs.structure(fields, _KINDS[name])
    except (cattrs.BaseValidationError, KeyError, TypeError, ValueError, RecursionError) as error:
        return Err(f"invalid datagram: {type(error).__name__}")
    if not _is_bounded(message):
        return Err("invalid datagram: a text is too long")
    return Ok(message)


def _is_bounded(message: Message) -> bool:
    values = [value for value in attrs.astuple(message) if value is not None]
    texts = [text for value in values for text in (value if isinstance(value, tuple) else [value])]
    return all(len(text) <= MAX_TEXT_CHARS for text in texts if isinstance(text, str))
