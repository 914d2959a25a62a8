"""Every refusal has a status, a message, a verdict and, when useful, a time to come back."""

import json

import pytest

from hickoryloom.admission import RefusalReason, Refused
from hickoryloom.entry.errors import answer_for_refusal, error_body, error_event, error_headers
from hickoryloom.verdict import Verdict


@pytest.mark.parametrize("reason", list(RefusalReason))
@pytest.mark.parametrize("verdict", list(Verdict))
def test_each_reason_has_an_answer(reason, verdict):
    answer = answer_for_refusal(Refused(reason, verdict, 1.2), "r1")
    headers = dict(error_headers(answer))
    error = json.loads(error_body(answer))["error"]
    assert 400 <= answer.status < 600
    assert error["message"] and error["verdict"] == headers["X-Verdict"] == verdict.value
    assert headers["Retry-After"] == "2" and error["retry_after_s"] == 1.2


def test_error_event_is_one_event():
    answer = answer_for_refusal(Refused(RefusalReason.PREEMPTED, Verdict.RAN, 0.0), "r1")
    event = error_event(answer)
    assert event.startswith(b"data: {") and event.endswith(b"\n\n") and event.count(b"\n") == 2
