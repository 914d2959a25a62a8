"""The protocol of claims as steps against the platform; pure, time is handed in.

Each function is a generator that yields the platform calls to make and gets their results, so
that a test can interleave, lose and repeat them at will.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
from result import Err, Ok, Result

from hickoryloom.admission import Refused
from hickoryloom.claims.codec import record_from_json, record_to_json
from hickoryloom.claims.messages import Claim, ClaimRecord, ClaimState, StoredAnswer
from hickoryloom.claims.refusals import (
    refuse_already_run,
    refuse_in_progress,
    refuse_reused_key,
    refuse_unknown,
    refuse_without_platform,
)
from hickoryloom.store import (
    DeleteStep,
    ErrorKind,
    PlatformError,
    ReadStep,
    Steps,
    settle_steps,
)
from hickoryloom.verdict import Applied, Verdict

__all__ = [
    "NotClaimed",
    "begin_steps",
    "discard_steps",
    "finish_steps",
    "mark_sent_steps",
]

CLAIM_TRIES = 2
FINISH_TRIES = 4
DISCARD_TRIES = 3
SEND_RIGHT_S = 600.0
STALE_CLAIM_S = 10.0
SENT_PATIENCE_S = 120.0
SENT_RETRY_S = 2.0

IsGone = Callable[[ClaimRecord], bool]


@attrs.frozen
class NotClaimed:
    """Why a call was not claimed.

    Attributes:
        refused: The answer for the caller.
        may_hold: Whether a claim of this attempt may be in force, or come in force late.
    """

    refused: Refused
    may_hold: bool = False


Begun = Result[Claim | StoredAnswer, NotClaimed]


def begin_steps(key: str, record: ClaimRecord, is_gone: IsGone, now: float) -> Steps[Begun]:
    """Claim a call, take over a claim that was left before its call was sent, or say why not.

    Args:
        key: Key of the claim's object.
        record: The claim to put in force, in state `CLAIMED`.
        is_gone: Whether the attempt that holds a claim is known to have ended. A wrong answer
            makes a repeat come back sooner or later, and never runs a call twice.
        now: Monotonic time in seconds at which `record` was stamped with its epoch.

    Returns:
        The claim, the stored outcome of the same call, or a refusal.
    """
    send_until = now + SEND_RIGHT_S
    written = yield from settle_steps(key, record_to_json(record), 0, CLAIM_TRIES)
    if written.is_ok():
        return Ok(Claim(key, written.unwrap().version, record, send_until))
    error = written.unwrap_err()
    if error.kind is not ErrorKind.CONFLICT:
        return Err(_not_claimed(error))
    found = yield ReadStep(key)
    if found.is_err():
        return Err(_not_read(found.unwrap_err(), error))
    version = found.unwrap().version
    if version < error.version:
        may_hold = error.applied is Applied.UNKNOWN
        return Err(NotClaimed(refuse_in_progress(), may_hold))
    try:
        existing = record_from_json(found.unwrap().value)
    except (AttributeError, KeyError, TypeError, ValueError):
        return Err(NotClaimed(refuse_unknown("The claim of this key can't be read.")))
    if existing == record:
        return Ok(Claim(key, version, record, send_until))
    refused_or_stored = _judge(existing, record, is_gone)
    if refused_or_stored is not None:
        return refused_or_stored
    return (yield from _take_over(Claim(key, version, record, send_until)))


def mark_sent_steps(claim: Claim, now_wall: float) -> Steps[Result[Claim, Refused]]:
    """Get the right to send the claimed call; with a refusal, no byte may be sent.

    Args:
        claim: The claim, in state `CLAIMED`.
        now_wall: Wall time in seconds.
    """
    record = attrs.evolve(claim.record, state=ClaimState.SENT, changed=now_wall)
    value = record_to_json(record)
    written = yield from settle_steps(claim.key, value, claim.version, CLAIM_TRIES)
    if written.is_ok():
        return Ok(attrs.evolve(claim, version=written.unwrap().version, record=record))
    error = written.unwrap_err()
    if error.kind is ErrorKind.CONFLICT:
        return Err(refuse_in_progress())
    return Err(refuse_without_platform(error.retry_after_s))


def finish_steps(
    claim: Claim, record: ClaimRecord, tries: int = FINISH_TRIES
) -> Steps[Result[None, PlatformError]]:
    """Put the outcome of a sent call into its claim; may be repeated until it is there."""
    value = record_to_json(record)
    written = yield from settle_steps(claim.key, value, claim.version, tries, may_be_applied=True)
    return written.map(lambda _: None)


def discard_steps(key: str, attempt: str) -> Steps[Result[None, PlatformError]]:
    """Delete the claim of an attempt of which no byte was run, if it still holds it."""
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


def _take_over(claim: Claim) -> Steps[Begun]:
    value = record_to_json(claim.record)
    written = yield from settle_steps(claim.key, value, claim.version, CLAIM_TRIES)
    if written.is_ok():
        return Ok(attrs.evolve(claim, version=written.unwrap().version))
    error = written.unwrap_err()
    may_hold = error.applied is Applied.UNKNOWN
    if error.kind is ErrorKind.CONFLICT:
        return Err(NotClaimed(refuse_in_progress(), may_hold))
    return Err(
        NotClaimed(refuse_without_platform(error.retry_after_s, Verdict.MAY_HAVE_RUN), may_hold)
    )


def _judge(existing: ClaimRecord, own: ClaimRecord, is_gone: IsGone) -> Begun | None:
    """Say what a claim means for a repeat of its call; None when it may be taken over."""
    if existing.call_digest != own.call_digest:
        return Err(NotClaimed(refuse_reused_key()))
    if existing.state is ClaimState.DONE:
        return _replay(existing)
    if existing.state is ClaimState.LOST:
        return Err(NotClaimed(refuse_unknown()))
    age_s = abs(own.changed - existing.changed)
    gone = is_gone(existing)
    if existing.state is ClaimState.SENT:
        if gone or age_s > SENT_PATIENCE_S:
            return Err(NotClaimed(refuse_unknown()))
        return Err(NotClaimed(refuse_in_progress(SENT_RETRY_S)))
    if gone or age_s > STALE_CLAIM_S:
        return None
    return Err(NotClaimed(refuse_in_progress()))


def _replay(existing: ClaimRecord) -> Begun:
    if existing.answer is not None and existing.answer.kept:
        return Ok(existing.answer)
    return Err(NotClaimed(refuse_already_run()))


def _is_open_claim_of(value: Any, attempt: str) -> bool:
    try:
        record = record_from_json(value)
    except (AttributeError, KeyError, TypeError, ValueError):
        return False
    return record.attempt == attempt and record.state in (ClaimState.CLAIMED, ClaimState.SENT)


def _not_claimed(error: PlatformError) -> NotClaimed:
    return NotClaimed(
        refuse_without_platform(error.retry_after_s), error.applied is Applied.UNKNOWN
    )


def _not_read(error: PlatformError, conflict: PlatformError) -> NotClaimed:
    """Refuse when another claim exists and can't be read."""
    may_hold = conflict.applied is Applied.UNKNOWN
    if error.kind is ErrorKind.ABSENT:
        return NotClaimed(refuse_in_progress(), may_hold)
    return NotClaimed(refuse_without_platform(error.retry_after_s, Verdict.MAY_HAVE_RUN), may_hold)
