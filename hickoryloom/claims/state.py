"""The claim protocol, as pure generators that get the time as an argument.

Each generator yields the platform calls to make and is sent their results, so that a test can
interleave, lose and repeat the calls in any order.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
from result import Err, Ok, Result

from hickoryloom.admission import Refused
from hickoryloom.claims.codec import record_from_json, record_to_json
from hickoryloom.claims.messages import Claim, ClaimRecord, ClaimState, StoredResponse
from hickoryloom.claims.refusals import (
    refuse_already_run,
    refuse_in_progress,
    refuse_key_reused,
    refuse_outcome_unknown,
    refuse_platform_unavailable,
)
from hickoryloom.store import (
    DeleteStep,
    ErrorKind,
    PlatformError,
    ReadStep,
    Steps,
    confirmed_update_steps,
)
from hickoryloom.verdict import Applied, Verdict

__all__ = [
    "ClaimRefusal",
    "begin_steps",
    "discard_steps",
    "finish_steps",
    "mark_sent_steps",
]

CLAIM_TRIES = 2
FINISH_TRIES = 4
DISCARD_TRIES = 3
SEND_WINDOW_S = 600.0
STALE_CLAIM_S = 10.0
SENT_TIMEOUT_S = 120.0
SENT_RETRY_S = 2.0

HasEnded = Callable[[ClaimRecord], bool]


@attrs.frozen
class ClaimRefusal:
    """Why a call was not claimed.

    Attributes:
        refused: Refusal to return to the caller.
        may_hold_claim: Whether a claim of this attempt may be stored, or be stored by a delayed
            write.
    """

    refused: Refused
    may_hold_claim: bool = False


BeginResult = Result[Claim | StoredResponse, ClaimRefusal]


def begin_steps(
    key: str, record: ClaimRecord, has_ended: HasEnded, now: float
) -> Steps[BeginResult]:
    """Claim a call, or take over a claim whose attempt ended before its call was sent.

    Args:
        key: Key of the claim's object.
        record: The claim to store, in state `CLAIMED`.
        has_ended: Returns whether the attempt that holds a claim is known to have ended. A wrong
            result only changes when a repeat succeeds; it never makes a call run twice.
        now: Monotonic time in seconds, taken before `record` was given its epoch.

    Returns:
        The claim, the stored response to the same call, or a refusal.
    """
    send_deadline = now + SEND_WINDOW_S
    written = yield from confirmed_update_steps(key, record_to_json(record), 0, CLAIM_TRIES)
    if written.is_ok():
        return Ok(Claim(key, written.unwrap().version, record, send_deadline))
    error = written.unwrap_err()
    if error.kind is not ErrorKind.CONFLICT:
        return Err(_refuse_after_write(error))
    found = yield ReadStep(key)
    if found.is_err():
        return Err(_refuse_after_read(found.unwrap_err(), error))
    version = found.unwrap().version
    if version < error.version:
        may_hold_claim = error.applied is Applied.UNKNOWN
        return Err(ClaimRefusal(refuse_in_progress(), may_hold_claim))
    try:
        existing = record_from_json(found.unwrap().value)
    except (AttributeError, KeyError, TypeError, ValueError):
        return Err(ClaimRefusal(refuse_outcome_unknown("The claim of this key can't be read.")))
    if existing == record:
        return Ok(Claim(key, version, record, send_deadline))
    refusal_or_response = _evaluate_existing(existing, record, has_ended)
    if refusal_or_response is not None:
        return refusal_or_response
    return (yield from _take_over(Claim(key, version, record, send_deadline)))


def mark_sent_steps(claim: Claim, now_wall: float) -> Steps[Result[Claim, Refused]]:
    """Mark the claimed call as sent; after a refusal, no byte may be sent.

    Args:
        claim: The claim, in state `CLAIMED`.
        now_wall: Wall time in seconds.
    """
    record = attrs.evolve(claim.record, state=ClaimState.SENT, changed=now_wall)
    value = record_to_json(record)
    written = yield from confirmed_update_steps(claim.key, value, claim.version, CLAIM_TRIES)
    if written.is_ok():
        return Ok(attrs.evolve(claim, version=written.unwrap().version, record=record))
    error = written.unwrap_err()
    if error.kind is ErrorKind.CONFLICT:
        return Err(refuse_in_progress())
    return Err(refuse_platform_unavailable(error.retry_after_s))


def finish_steps(
    claim: Claim, record: ClaimRecord, tries: int = FINISH_TRIES
) -> Steps[Result[None, PlatformError]]:
    """Write the outcome of a sent call into its claim; may be repeated until it succeeds."""
    value = record_to_json(record)
    written = yield from confirmed_update_steps(
        claim.key, value, claim.version, tries, may_be_applied=True
    )
    return written.map(lambda _: None)


def discard_steps(key: str, attempt: str) -> Steps[Result[None, PlatformError]]:
    """Delete the claim of an attempt whose call was not run, if the attempt still holds it."""
    deleted: Result[None, PlatformError] = Ok(None)
    for _ in range(DISCARD_TRIES):
        found = yield ReadStep(key)
        if found.is_err():
            error = found.unwrap_err()
            return Ok(None) if error.kind is ErrorKind.ABSENT else Err(error)
        if not _is_open_claim_of(found.unwrap().value, attempt):
            return Ok(None)
        deleted = yield DeleteStep(key, found.unwrap().version)
        if deleted.is_ok() or deleted.unwrap_err().kind is ErrorKind.ABSENT:
            return Ok(None)
        if deleted.unwrap_err().kind is not ErrorKind.CONFLICT:
            break
    return deleted


def _take_over(claim: Claim) -> Steps[BeginResult]:
    value = record_to_json(claim.record)
    written = yield from confirmed_update_steps(claim.key, value, claim.version, CLAIM_TRIES)
    if written.is_ok():
        return Ok(attrs.evolve(claim, version=written.unwrap().version))
    error = written.unwrap_err()
    may_hold_claim = error.applied is Applied.UNKNOWN
    if error.kind is ErrorKind.CONFLICT:
        return Err(ClaimRefusal(refuse_in_progress(), may_hold_claim))
    return Err(
        ClaimRefusal(
            refuse_platform_unavailable(error.retry_after_s, Verdict.MAY_HAVE_RUN), may_hold_claim
        )
    )


def _evaluate_existing(
    existing: ClaimRecord, own: ClaimRecord, has_ended: HasEnded
) -> BeginResult | None:
    """Return the result for a repeat of a claimed call; None if the claim may be taken over."""
    if existing.call_digest != own.call_digest:
        return Err(ClaimRefusal(refuse_key_reused()))
    if existing.state is ClaimState.DONE:
        return _replay(existing)
    if existing.state is ClaimState.LOST:
        return Err(ClaimRefusal(refuse_outcome_unknown()))
    age_s = abs(own.changed - existing.changed)
    ended = has_ended(existing)
    if existing.state is ClaimState.SENT:
        if ended or age_s > SENT_TIMEOUT_S:
            return Err(ClaimRefusal(refuse_outcome_unknown()))
        return Err(ClaimRefusal(refuse_in_progress(SENT_RETRY_S)))
    if ended or age_s > STALE_CLAIM_S:
        return None
    return Err(ClaimRefusal(refuse_in_progress()))


def _replay(existing: ClaimRecord) -> BeginResult:
    if existing.answer is not None and existing.answer.kept:
        return Ok(existing.answer)
    return Err(ClaimRefusal(refuse_already_run()))


def _is_open_claim_of(value: Any, attempt: str) -> bool:
    try:
        record = record_from_json(value)
    except (AttributeError, KeyError, TypeError, ValueError):
        return False
    return record.attempt == attempt and record.state in (ClaimState.CLAIMED, ClaimState.SENT)


def _refuse_after_write(error: PlatformError) -> ClaimRefusal:
    return ClaimRefusal(
        refuse_platform_unavailable(error.retry_after_s), error.applied is Applied.UNKNOWN
    )


def _refuse_after_read(error: PlatformError, conflict: PlatformError) -> ClaimRefusal:
    """Refuse because another claim exists and can't be read."""
    may_hold_claim = conflict.applied is Applied.UNKNOWN
    if error.kind is ErrorKind.ABSENT:
        return ClaimRefusal(refuse_in_progress(), may_hold_claim)
    return ClaimRefusal(
        refuse_platform_unavailable(error.retry_after_s, Verdict.MAY_HAVE_RUN), may_hold_claim
    )
