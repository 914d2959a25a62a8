"""The gateway's representation of callers' requests, response heads, refusals and replies."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from hickoryloom.placing import PromptSegment, ReportedLoad
from hickoryloom.verdict import Verdict

__all__ = ["ResponseHead", "CallerRequest", "Refusal", "Reply"]

Headers = tuple[tuple[str, str], ...]


@attrs.frozen
class CallerRequest:
    """A caller's decoded request; the body is forwarded unchanged.

    Attributes:
        id: Request id sent by the caller; empty if there is none.
        method: HTTP method.
        target: Request target, that is path and query, as received.
        host: Value of the header `Host`.
        headers: Headers to forward, without those that the gateway sets.
        body: The complete body.
        caller_timeout_s: Seconds for which the caller waits for the response; None if it does not
            state this.
        key_hash: Hash of the API key; empty without a key.
        prompt_tokens: Number of prompt tokens; 0 for a request that is not for a model engine.
        output_tokens: Largest number of tokens that the response may have; 0 if not stated.
        prompt_segments: Parts of the prompt in order; only the last is unique to this request.
        resume_after: Id of the last event that the caller has received; None for a new stream.
        resumes: Id of the request that began the stream that the caller takes up; empty if not
            stated.
    """

    id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    caller_timeout_s: float | None = None
    key_hash: str = ""
    prompt_tokens: int = 0
    prompt_segments: tuple[PromptSegment, ...] = ()
    resume_after: int | None = None
    resumes: str = ""
    output_tokens: int = 0

    @property
    def path(self) -> str:
        """Request path without the query."""
        return self.target.partition("?")[0]


@attrs.frozen
class ResponseHead:
    """Decoded head of a backend server's response.

    Attributes:
        not_run: Whether the backend server states that it did not run the request.
        misdirected: Whether the response comes from a backend server other than the chosen one.
        signed: Whether the response carries the backend server's signature.
        load: Load reported by the backend server; None if not reported.
        load_unreadable: The reported load as stated if it is not valid; empty otherwise.
        keep_alive_s: Idle timeout of the backend server's connections, in seconds; None if not
            stated.
        leaving: Whether the backend server announces that it leaves.
        pause: For how long a backend server that turned the request away wants none, as stated;
            empty if not stated.
        limit: Requests per second that the backend server takes from all instances together, as
            stated; empty if not stated.
        turned_away: Whether the backend server turned the request away for want of room or time.
        brittle: Requests that the backend server may turn away in a second without falling over,
            as stated; empty if not stated.
        warm_up_ms: Milliseconds until the backend server is no longer cold, as stated; empty if not
            stated.
    """

    not_run: bool
    misdirected: bool
    signed: bool
    load: ReportedLoad | None
    keep_alive_s: float | None
    leaving: bool = False
    pause: str = ""
    limit: str = ""
    turned_away: bool = False
    brittle: str = ""
    warm_up_ms: str = ""
    load_unreadable: str = ""


@attrs.frozen
class Refusal:
    """Error response to a request that no backend server answered.

    Attributes:
        status: HTTP status.
        reason: Short name of the cause, for logs and the caller.
        verdict: Whether a backend server may have run the request.
        retry_after_s: Value of `Retry-After` in seconds; None where a retry time does not apply.
        close: Whether the connection is closed after the response.
    """

    status: int
    reason: str
    verdict: Verdict
    retry_after_s: float | None = None
    close: bool = False


@attrs.define
class Reply:
    """Response to forward to the caller.

    Attributes:
        status: HTTP status.
        headers: Headers to send.
        body: Chunks of the body as they arrive.
        length: Length of the body in bytes; None if unknown in advance.
    """

    status: int
    headers: Headers
    body: Iterator[bytes]
    length: int | None = None
