"""What accompanies a request between two instances, as headers of an HTTP/1.1 call.

The call has the method, target, `Host`, headers and body of the caller's request.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any, TypeVar

import attrs
import cattrs
from result import Err, Ok, Result

from hickoryloom.origins import Origin
from hickoryloom.upstream import end_to_end_headers
from hickoryloom.verdict import Verdict

__all__ = [
    "HAND_OVER_HEADER",
    "RESULT_HEADER",
    "SIGNATURE_HEADER",
    "HandOver",
    "HandOverResult",
    "HandOverPeer",
    "ReceivedCall",
    "decode_hand_over",
    "decode_result",
    "encode_hand_over",
    "encode_result",
    "without_hand_over_headers",
]

HAND_OVER_HEADER = "hickoryloom-hand-over"
SIGNATURE_HEADER = "hickoryloom-signature"
RESULT_HEADER = "hickoryloom-result"
HEADERS = frozenset((HAND_OVER_HEADER, SIGNATURE_HEADER, RESULT_HEADER))

MAX_ELAPSED_S = 3600.0
MAX_SENDS = 1_000
MAX_TEXT_CHARS = 200

Headers = tuple[tuple[str, str], ...]
T = TypeVar("T")


@attrs.frozen
class HandOverPeer:
    """Another instance to which requests may be handed over.

    Attributes:
        address: `host:port` at which it serves other instances.
        failure_domain: Its failure domain.
        token: Secret of its process, with which calls to it are signed.
    """

    address: str
    failure_domain: str
    token: str = attrs.field(repr=False)


@attrs.frozen
class ReceivedCall:
    """A caller's request as it was received.

    Attributes:
        method: HTTP method.
        target: Request target, that is path and query.
        host: Value of the header `Host`.
        headers: Headers as received, names in lower case.
        body: The complete body.
    """

    method: str
    target: str
    host: str
    headers: Headers
    body: bytes

    @property
    def forwarded_headers(self) -> Headers:
        """The end-to-end headers without those that instances set for each other."""
        return without_hand_over_headers(end_to_end_headers(self.headers))


@attrs.frozen
class HandOver:
    """What the receiver must know besides the request itself.

    Attributes:
        sender: Name of the instance that hands the request over.
        request: Id of the request, which the response repeats.
        elapsed_s: Seconds since the arrival of the request.
        sends: Number of times that the request was sent to backend servers.
        resume_after: Id of the last event that the caller has, if the sender takes a stream up;
            None if only the request itself may say so.
        resumes: Id of the request that began this stream.
        service: Service that the sender has chosen among the targets of the route; empty from
            earlier versions.
        origin: Origin of a stream that goes on; None if the sender doesn't know it.
    """

    sender: str
    request: str
    elapsed_s: float
    sends: int = 0
    resume_after: int | None = None
    resumes: str = ""
    service: str = ""
    origin: Origin | None = None


@attrs.frozen
class HandOverResult:
    """What the response says besides status, headers and body for the caller.

    Attributes:
        request: Id of the request.
        refused: Short name of the cause if the receiver refuses the request; empty otherwise.
        verdict: Whether a backend server may have run a refused request.
        origin: Origin of a stream that has begun; None for other responses and from earlier
            versions.
    """

    request: str
    refused: str = ""
    verdict: Verdict = Verdict.MAY_HAVE_RUN
    origin: Origin | None = None


def encode_hand_over(hand_over: HandOver) -> str:
    """Return the value of `HAND_OVER_HEADER`."""
    return _encode(hand_over)


def decode_hand_over(value: str) -> Result[HandOver, str]:
    """Decode the value of `HAND_OVER_HEADER`; return an error message if it is invalid."""
    decoded = _decode(value, HandOver)
    if isinstance(decoded, Err):
        return decoded
    hand_over = decoded.ok_value
    if not 0.0 <= hand_over.elapsed_s <= MAX_ELAPSED_S or not 0 <= hand_over.sends <= MAX_SENDS:
        return Err(f"header {HAND_OVER_HEADER!r} has a number out of range")
    texts = (hand_over.sender, hand_over.resumes, hand_over.service)
    if max(map(len, texts)) > MAX_TEXT_CHARS or not _is_bounded(hand_over.origin):
        return Err(f"header {HAND_OVER_HEADER!r} has a text of over {MAX_TEXT_CHARS} characters")
    return decoded


def encode_result(result: HandOverResult) -> str:
    """Return the value of `RESULT_HEADER`."""
    return _encode(result)


def decode_result(value: str) -> Result[HandOverResult, str]:
    """Decode the value of `RESULT_HEADER`; return an error message if it is invalid."""
    decoded = _decode(value, HandOverResult)
    if isinstance(decoded, Ok) and not _is_bounded(decoded.ok_value.origin):
        return Err(f"header {RESULT_HEADER!r} has a text of over {MAX_TEXT_CHARS} characters")
    return decoded


def without_hand_over_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers without those that instances set for each other."""
    return tuple(pair for pair in headers if pair[0] not in HEADERS)


def _is_bounded(origin: Origin | None) -> bool:
    return origin is None or origin.is_bounded


def _encode(message: Any) -> str:
    return json.dumps(cattrs.unstructure(message), separators=(",", ":"))


def _decode(value: str, kind: type[T]) -> Result[T, str]:
    try:
        return Ok(cattrs.structure(json.loads(value), kind))
    except (cattrs.BaseValidationError, KeyError, TypeError, ValueError, RecursionError) as error:
        return Err(f"header for {kind.__name__} is invalid: {type(error).__name__}")
