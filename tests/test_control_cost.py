"""CPU time and memory of control processes, checked against the targets for the planned fleet."""

import os
from pathlib import Path

import gevent
import pytest

from tests.harness import wait_until
from tests.site import Site

pytestmark = [pytest.mark.processes, pytest.mark.bench, pytest.mark.seconds(14)]

MAX_CPU_CORES = 0.015
MAX_MEMORY_MB = 64.0
MEASUREMENT_S = 8.0
ENTRIES = 2


def cpu_seconds(pid):
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_mb(pid):
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS")) / 1024


def test_lease_holder_and_candidate_stay_within_the_targets(tmp_path, capsys):
    site = Site(tmp_path)
    try:
        site.publish()
        for _ in range(ENTRIES):
            site.add_entry()
        for _ in range(2):
            site.add_control(window_s=60.0)
        wait_until(lambda: site.client.get("leases/usage").is_ok(), 20.0, "lease")
        gevent.sleep(2.0)
        before = [cpu_seconds(process.pid) for process in site.controls]
        gevent.sleep(MEASUREMENT_S)
        after = [cpu_seconds(process.pid) for process in site.controls]
        cpu_ratios = [(b - a) / MEASUREMENT_S for a, b in zip(before, after, strict=True)]
        memory = [memory_mb(process.pid) for process in site.controls]
        with capsys.disabled():
            print(f"\ncontrol: CPU cores {cpu_ratios}, MB {memory}")
        assert max(cpu_ratios) <= MAX_CPU_CORES
        assert max(memory) <= MAX_MEMORY_MB
    finally:
        site.stop()
