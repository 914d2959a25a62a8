"""A caller's request, a backend server's answer and a final refusal, as the gateway sees them."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from hickoryloom.placing import PromptPart, ReportedLoad
from hickoryloom.verdict import Verdict

__all__ = ["AnswerHead", "CallerRequest", "Refusal", "Reply"]

Headers = tuple[tuple[str, str], ...]


@attrs.frozen
class CallerRequest:
    """One request, decoded; the body is passed on as it came.

    Attributes:
        id: The caller's id for it; empty when it sent none.
        method: HTTP method.
        target: Path with query, as it was sent.
        host: Value of the header `Host`.
        headers: Headers that may be passed on, without those that the gateway sets.
        body: The whole body.
        wait_s: Seconds for which the caller waits; None when it does not say.
        key_hash: Hash of the caller's key; empty without one.
        prompt_tokens: Tokens of the prompt; 0 for a request that is not for a model engine.
        prompt_parts: Parts of the prompt in order, the last of them its own.
        resume_after: Id of the last event that the caller has; None for a stream from its start.
    """

    id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    wait_s: float | None = None
    key_hash: str = ""
    prompt_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    resume_after: int | None = None

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]


@attrs.frozen
class AnswerHead:
    """What the head of a backend server's answer tells.

    Attributes:
        not_run: Whether the backend server says that it did not run the request.
        misdirected: Whether another backend server than the chosen one has answered.
        signed: Whether the answer bears the backend server's signature.
        load: The backend server's word on its load; None when it does not say.
        keep_s: Seconds for which it keeps an idle connection; None when it does not say.
    """

    not_run: bool
    misdirected: bool
    signed: bool
    load: ReportedLoad | None
    keep_s: float | None


@attrs.frozen
class Refusal:
    """The final answer to a request that no backend server answered.

    Attributes:
        status: HTTP status.
        reason: Short name, for logs and the caller.
        verdict: Whether a backend server may have run it.
        retry_after_s: When to come back, in seconds; None where that makes no sense.
        close: Whether the connection is closed after it.
    """

    status: int
    reason: str
    verdict: Verdict
    retry_after_s: float | None = None
    close: bool = False


@attrs.define
class Reply:
    """An answer for the caller.

    Attributes:
        status: HTTP status.
        headers: Headers to send.
        body: Blocks to send as they come.
        length: Bytes of the body; None when it is not known beforehand.
    """

    status: int
    headers: Headers
    body: Iterator[bytes]
    length: int | None = None
