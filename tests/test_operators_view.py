"""What operators see: status of a whole deployment, decisions on a request, the demo."""

import subprocess
import sys
from pathlib import Path

import pytest

from tests.harness import wait_until
from tests.site import start_site

pytestmark = [pytest.mark.processes, pytest.mark.seconds(35)]

ROOT = Path(__file__).resolve().parent.parent
DEMO_LIMIT_S = 120


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
    shown = run_command("status", "--platform", site.platform_address)
    assert shown.returncode == 0, shown.stderr
    for part in ("entry-1-", "entry-2-", "control-1-", "ready", "guest", "assistant", "usage"):
        assert part in shown.stdout
    generation = site.status("entry-1")["generation"]
    assert f"configuration published: {generation}" in shown.stdout


def test_explain_tells_the_way_of_a_request(site):
    reply = site.ask("entry-1", site.key)
    admin = site.addresses["entry-1"]["admin"]
    shown = run_command("explain", "--admin", admin, reply.headers["x-request-id"])
    assert shown.returncode == 0
    assert "admitted" in shown.stdout and "engine-" in shown.stdout
    unknown = run_command("explain", "--admin", admin, "no-such-request")
    assert unknown.returncode == 1 and "Traceback" not in unknown.stderr


def test_status_names_a_dead_instance_and_asks_instances_without_the_platform(site):
    site.entries[1].kill()
    shown = run_command("status", "--platform", site.platform_address)
    assert shown.returncode == 1
    assert f"no answer from: {site.addresses['entry-2']['admin']}" in shown.stdout
    site.processes[0].kill()
    without = run_command("status", "--platform", site.platform_address)
    assert without.returncode == 1 and "Traceback" not in without.stderr
    admin = site.addresses["entry-1"]["admin"]
    asked = run_command("status", "--admin", admin)
    assert asked.returncode == 0 and "entry-1-" in asked.stdout


def test_demo_serves_both_deployments_and_exits_with_0():
    shown = run_command("demo", timeout_s=DEMO_LIMIT_S)
    assert shown.returncode == 0, shown.stderr
    for part in ("studio: 2 entries", "franchise: 2 entries", "whole: True", "replayed=true"):
        assert part in shown.stdout
    assert shown.stdout.count("verdict not-run") >= 2
    assert "Traceback" not in shown.stderr


def test_entries_without_a_peer_secret_hear_each_other(tmp_path):
    site = start_site(tmp_path, entries=0)
    try:
        for _ in range(2):
            site.add_entry(peer_secret="")
        for entry in ("entry-1", "entry-2"):
            wait_until(lambda entry=entry: len(site.status(entry)["peers"]) == 1)
    finally:
        site.stop()
