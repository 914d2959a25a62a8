"""The commands `status`, `explain` and `demo` against a complete deployment."""

import subprocess
import sys
from pathlib import Path

import pytest

from tests.harness import wait_until
from tests.site import start_site

pytestmark = [pytest.mark.processes, pytest.mark.seconds(35)]

ROOT = Path(__file__).resolve().parent.parent
DEMO_TIMEOUT_S = 120


def run_command(*arguments, timeout_s=30):
    return subprocess.run(
        [sys.executable, "-m", "hickoryloom", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=timeout_s,
    )


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    site = start_site(tmp_path_factory.mktemp("site"))
    site.add_control()
    site.key = site.issue_key("studio")
    wait_until(lambda: site.ask("entry-1", site.key).status == 200)
    wait_until(lambda: site.status("control-1")["leases"]["usage"]["held_here"], 20)
    yield site
    site.stop()


def test_status_shows_instances_leases_pools_and_attainment(site):
    result = run_command("status", "--platform", site.platform_address)
    assert result.returncode == 0, result.stderr
    for expected in ("entry-1-", "entry-2-", "control-1-", "ready", "guest", "assistant", "usage"):
        assert expected in result.stdout
    generation = site.status("entry-1")["generation"]
    assert f"configuration published: {generation}" in result.stdout


def test_explain_shows_the_decisions_on_a_request(site):
    reply = site.ask("entry-1", site.key)
    admin = site.addresses["entry-1"]["admin"]
    result = run_command("explain", "--admin", admin, reply.headers["x-request-id"])
    assert result.returncode == 0
    assert "admitted" in result.stdout and "engine-" in result.stdout
    unknown_request = run_command("explain", "--admin", admin, "no-such-request")
    assert unknown_request.returncode == 1 and "Traceback" not in unknown_request.stderr


def test_status_reports_a_dead_instance_and_works_without_the_platform(site):
    site.entries[1].kill()
    result = run_command("status", "--platform", site.platform_address)
    assert result.returncode == 1
    assert f"no answer from: {site.addresses['entry-2']['admin']}" in result.stdout
    site.processes[0].kill()
    without_platform = run_command("status", "--platform", site.platform_address)
    assert without_platform.returncode == 1 and "Traceback" not in without_platform.stderr
    admin = site.addresses["entry-1"]["admin"]
    by_admin_address = run_command("status", "--admin", admin)
    assert by_admin_address.returncode == 0 and "entry-1-" in by_admin_address.stdout


def test_demo_runs_both_deployments_and_exits_with_0():
    result = run_command("demo", timeout_s=DEMO_TIMEOUT_S)
    assert result.returncode == 0, result.stderr
    for expected in ("studio: 2 entries", "franchise: 2 entries", "whole: True", "replayed=true"):
        assert expected in result.stdout
    assert result.stdout.count("verdict not-run") >= 2
    assert "Traceback" not in result.stderr


def test_entries_without_a_peer_secret_exchange_heartbeats(tmp_path):
    site = start_site(tmp_path, entries=0)
    try:
        for _ in range(2):
            site.add_entry(peer_secret="")
        for entry in ("entry-1", "entry-2"):
            wait_until(lambda entry=entry: len(site.status(entry)["peers"]) == 1)
    finally:
        site.stop()
