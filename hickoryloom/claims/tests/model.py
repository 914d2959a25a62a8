"""Model of a platform and entries in which the test controls each step, loss, delay and crash."""

from __future__ import annotations

import attrs
from result import Err, Ok

from hickoryloom.claims.messages import ClaimRecord, ClaimState, StoredResponse
from hickoryloom.claims.state import (
    begin_steps,
    discard_steps,
    finish_steps,
    mark_sent_steps,
)
from hickoryloom.store import (
    DeleteStep,
    ErrorKind,
    PauseStep,
    PlatformError,
    ReadStep,
    UpdateStep,
    Versioned,
)
from hickoryloom.verdict import Applied, Verdict

UNKNOWN = Err(PlatformError(ErrorKind.UNAVAILABLE, Applied.UNKNOWN))
DOWN = Err(PlatformError(ErrorKind.UNAVAILABLE, Applied.NOT_APPLIED))


@attrs.frozen
class SendStep:
    """The first byte is sent to a backend server, if the claim still permits it."""

    claim: object


class Platform:
    """Versioned objects; writes may be lost, or delayed and applied later."""

    def __init__(self):
        self.states = {}
        self.delayed = []

    def current(self, key):
        states = self.states.get(key, [])
        return states[-1] if states and states[-1].value is not None else None

    def handle(self, step, fate):
        if isinstance(step, PauseStep):
            return None
        if fate == "down":
            return DOWN
        if isinstance(step, ReadStep):
            return self.read(step.key, stale=fate == "stale")
        if fate == "vanish":
            return UNKNOWN
        if fate == "late":
            self.delayed.append(step)
            return UNKNOWN
        result = self.apply(step)
        return UNKNOWN if fate == "lost" else result

    def read(self, key, stale):
        states = self.states.get(key, [])
        if stale and len(states) > 1:
            states = states[:-1]
        if not states or states[-1].value is None:
            return Err(PlatformError(ErrorKind.ABSENT, Applied.NOT_APPLIED))
        return Ok(states[-1])

    def apply(self, step):
        found = self.current(step.key)
        version = found.version if found else 0
        if version != step.if_version:
            conflict = PlatformError(ErrorKind.CONFLICT, Applied.NOT_APPLIED, version=version)
            return Err(conflict)
        value = None if isinstance(step, DeleteStep) else step.value
        states = self.states.setdefault(step.key, [])
        states.append(Versioned(step.key, states[-1].version + 1 if states else 1, value))
        return Ok(states[-1]) if isinstance(step, UpdateStep) else Ok(None)


@attrs.define
class Entry:
    incarnation: str
    alive: bool = True
    epoch: int = 1
    epoch_read: float = 0.0


@attrs.define(eq=False)
class Attempt:
    """One request at one entry, as a generator of steps."""

    entry: Entry
    name: str
    key: str
    body: str
    machine: object
    step: object = None
    sent: bool = False
    verdict: Verdict | None = None
    replayed: StoredResponse | None = None
    answer: StoredResponse | None = None
    finished: bool = False
    steps: object = None

    def start(self):
        self.steps = self._serve()
        self.advance(None)

    def advance(self, result):
        try:
            self.step = self.steps.send(result)
        except StopIteration:
            self.finished = True

    def _serve(self):
        machine = self.machine
        record = ClaimRecord(
            ClaimState.CLAIMED,
            self.name,
            self.entry.incarnation,
            self.body,
            machine.now,
            self.entry.epoch,
        )
        begun = yield from begin_steps(self.key, record, self._has_ended, machine.now)
        if begun.is_err():
            refusal = begun.unwrap_err()
            yield from self._refuse(refusal.refused, refusal.may_hold_claim)
            return
        if isinstance(begun.unwrap(), StoredResponse):
            self.replayed = begun.unwrap()
            return
        marked = yield from mark_sent_steps(begun.unwrap(), machine.now)
        if marked.is_err():
            yield from self._refuse(marked.unwrap_err(), True)
            return
        yield from self._send(marked.unwrap())

    def _send(self, claim):
        outcome = yield SendStep(claim)
        if outcome == "not-run":
            self.verdict = Verdict.NOT_RUN
            yield from self._repeat_until_done(lambda: discard_steps(self.key, self.name))
            return
        self.verdict = Verdict.RAN if outcome == "answered" else Verdict.MAY_HAVE_RUN
        state = ClaimState.DONE if outcome == "answered" else ClaimState.LOST
        if outcome == "answered":
            self.answer = StoredResponse(200, (), f"{self.name} {self.body}".encode())
        record = attrs.evolve(
            claim.record,
            state=state,
            answer=self.answer,
            epoch=max(claim.record.epoch, self.entry.epoch),
        )
        yield from self._repeat_until_done(lambda: finish_steps(claim, record))

    def _refuse(self, refused, may_hold_claim):
        self.verdict = refused.verdict
        if may_hold_claim:
            yield from self._repeat_until_done(lambda: discard_steps(self.key, self.name))

    def _repeat_until_done(self, build_steps):
        while True:
            outcome = yield from build_steps()
            if outcome.is_ok() or outcome.unwrap_err().kind is ErrorKind.CONFLICT:
                return

    def _has_ended(self, record):
        return record.owner not in self.machine.believed_live
