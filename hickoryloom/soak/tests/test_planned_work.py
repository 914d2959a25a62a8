"""Short soak runs of planned work with fixed seeds."""

import pytest

from hickoryloom.clock import SystemClock
from hickoryloom.soak import render_report, run_soak
from hickoryloom.soak.faults import PLANNED_WORK
from hickoryloom.soak.sites import build_site

pytestmark = [pytest.mark.processes, pytest.mark.seconds(62)]

MIN_LOGGED_FRACTION = 0.95
"""Requests with lines in the logs; what an instance has read is told by them."""


@pytest.mark.parametrize("seed", [14, 32])
def test_planned_work_ends_no_request_that_was_read(seed, tmp_path):
    """Guards against stops, reloads and changes that leave requests without a complete answer."""
    sites = []

    def build(names):
        sites.append(build_site(tmp_path, names))
        return sites[0]

    report = run_soak(seed, 25.0, 4, build, SystemClock(), PLANNED_WORK)
    print(render_report(report))
    answered = [id for id, answer in report.record.answers.items() if answer.status]
    assert len(sites[0].log_lines(answered)) >= MIN_LOGGED_FRACTION * len(answered) > 500
    assert report.record.faults["planned-stop"] > 5
    assert not report.broken, render_report(report)
