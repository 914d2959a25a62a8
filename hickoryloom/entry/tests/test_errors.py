"""Every refusal has a status, a message, a verdict and, where useful, a Retry-After time."""

import json

import pytest

from hickoryloom.admission import RefusalReason, Refused
from hickoryloom.entry.errors import error_body, error_event, error_headers, response_for_refusal
from hickoryloom.verdict import Verdict


@pytest.mark.parametrize("reason", list(RefusalReason))
@pytest.mark.parametrize("verdict", list(Verdict))
def test_each_reason_has_a_response(reason, verdict):
    response = response_for_refusal(Refused(reason, verdict, 1.2), "r1")
    headers = dict(error_headers(response))
    error = json.loads(error_body(response))["error"]
    assert 400 <= response.status < 600
    assert error["message"] and error["verdict"] == headers["X-Verdict"] == verdict.value
    assert headers["Retry-After"] == "2" and error["retry_after_s"] == 1.2


def test_error_event_is_one_event():
    response = response_for_refusal(Refused(RefusalReason.PREEMPTED, Verdict.RAN, 0.0), "r1")
    event = error_event(response)
    assert event.startswith(b"data: {") and event.endswith(b"\n\n") and event.count(b"\n") == 2
