"""Orders of steps that the state machine generates only rarely."""

from hickoryloom.claims.codec import record_to_json
from hickoryloom.claims.messages import ClaimRecord, ClaimState
from hickoryloom.claims.state import discard_steps
from hickoryloom.claims.tests.model import Platform
from hickoryloom.store import DeleteStep, UpdateStep

RECORD = ClaimRecord(ClaimState.CLAIMED, "e1/1", "e1", "x", 0.0, 1)


def value_of(**changes):
    return {**record_to_json(RECORD), **changes}


def test_delayed_mark_does_not_preserve_a_discarded_claim():
    platform = Platform()
    platform.apply(UpdateStep("claims/a", value_of(), 0))
    steps = discard_steps("claims/a", "e1/1")
    delete = steps.send(platform.handle(steps.send(None), "ok"))
    assert isinstance(delete, DeleteStep)
    platform.apply(UpdateStep("claims/a", value_of(state="sent"), 1))
    step = steps.send(platform.apply(delete))
    try:
        while True:
            step = steps.send(platform.handle(step, "ok"))
    except StopIteration as stop:
        assert stop.value.is_ok()
    assert platform.current("claims/a") is None


def test_discard_keeps_claims_of_other_attempts_and_outcomes():
    for changes in ({"attempt": "e2/1"}, {"state": "done"}, {"state": "lost"}):
        platform = Platform()
        platform.apply(UpdateStep("claims/a", value_of(**changes), 0))
        steps = discard_steps("claims/a", "e1/1")
        try:
            steps.send(platform.handle(steps.send(None), "ok"))
            raise AssertionError("the claim of another attempt or an outcome was to be deleted")
        except StopIteration as stop:
            assert stop.value.is_ok()
