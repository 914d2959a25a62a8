"""A short soak run of real processes with a fixed seed."""

import pytest

from hickoryloom.clock import SystemClock
from hickoryloom.soak import render_report, run_soak
from hickoryloom.soak.sites import build_site

pytestmark = [pytest.mark.processes, pytest.mark.seconds(22)]


def test_short_run_keeps_every_promise(tmp_path):
    report = run_soak(20261204, 20.0, 3, lambda names: build_site(tmp_path, names), SystemClock())
    assert not report.broken, render_report(report)
    assert sum(report.record.faults.values()) > 5
    assert len(report.record.calls) > 200
