"""Usage reports while entries and reporters are killed and the platform fails."""

import gevent
import pytest

from tests.harness import wait_until
from tests.site import Site

pytestmark = [pytest.mark.processes, pytest.mark.seconds(61)]

LEASE_S = 2.0
WINDOW_S = 2.0
LONG_WINDOW_S = 6.0
REPORT_TIMEOUT_S = 40.0


class Accounts:
    """A site whose usage reports are compared with the responses that its callers received."""

    def __init__(self, directory, window_s):
        self.site = Site(directory)
        self.site.add_engine("huta-a", "--token-ms", "1")
        self.site.add_service()
        self.site.publish()
        self.entries = [self.site.add_entry(window_s=window_s) for _ in range(2)]
        self.controls = [
            self.site.add_control(window_s=window_s, lease_s=LEASE_S) for _ in range(2)
        ]
        self.site.wait_serving(*self.entries)
        self.key = self.site.issue_key("studio")
        self.served = 0
        wait_until(lambda: self._accepts_key(self.entries[0]), 10.0, "the key is accepted")
        wait_until(lambda: self._accepts_key(self.entries[1]), 10.0, "the key is accepted")

    def _accepts_key(self, entry):
        complete = self.site.ask(entry, self.key, max_tokens=2).complete
        self.served += complete
        return complete

    def serve(self, entry, count):
        for _ in range(count):
            assert self.site.ask(entry, self.key, max_tokens=2).complete
            self.served += 1

    def reports(self):
        answer = self.site.client._http.call("GET", "/standin/journal").unwrap().body
        return [e for e in answer["entries"] if e["kind"] == "usage"]

    def figures(self):
        """Return the reported rows by window; fail if a window was reported with two digests."""
        digests, rows = {}, {}
        for report in self.reports():
            assert report["result"] in ("taken", "fenced"), report
            if report["result"] == "taken":
                digest = digests.setdefault(report["window"], report["digest"])
                assert digest == report["digest"]
                rows[report["window"]] = report["figures"]["rows"]
        return rows

    def requests(self):
        return sum(row[3] for rows in self.figures().values() for row in rows)

    def wait_reported(self, minimum):
        wait_until(
            lambda: self.requests() >= minimum,
            REPORT_TIMEOUT_S,
            f"at least {minimum} requests are reported",
        )
        gevent.sleep(2 * WINDOW_S)
        return self.requests()

    def holder(self):
        holder = self.site.client.get("leases/usage").unwrap().value["holder"]
        return next(
            process
            for name, process in zip(self.controls, self.site.controls, strict=True)
            if holder.startswith(f"{name}-")
        )


@pytest.fixture
def accounts(tmp_path, request):
    accounts = None
    try:
        accounts = Accounts(tmp_path, getattr(request, "param", WINDOW_S))
        yield accounts
    finally:
        if accounts is not None:
            accounts.site.stop()


def test_usage_of_a_killed_entry_is_reported(accounts):
    """Kill the entry before it can write its usage: its peer has a copy and writes that."""
    accounts.site.set_faults("platform", outage="cut")
    accounts.serve(accounts.entries[0], 5)
    gevent.sleep(1.0)
    accounts.site.entries[0].kill()
    accounts.site.set_faults("platform", outage="")
    accounts.serve(accounts.entries[1], 3)
    assert accounts.wait_reported(accounts.served) == accounts.served


def test_killed_reporter_and_lost_responses_count_nothing_twice(accounts):
    accounts.serve(accounts.entries[0], 3)
    accounts.site.set_faults("platform", lose_answers=3, lose_prefix="/objects/sealed")
    gevent.sleep(WINDOW_S)
    accounts.site.set_faults("platform", lose_answers=2, lose_prefix="/usage")
    accounts.serve(accounts.entries[1], 3)
    gevent.sleep(WINDOW_S)
    accounts.holder().kill()
    accounts.site.set_faults("platform", lose_answers=4, lose_prefix="/objects/usage")
    accounts.serve(accounts.entries[0], 3)
    assert accounts.wait_reported(accounts.served) == accounts.served


def test_platform_outage_loses_no_usage(accounts):
    accounts.serve(accounts.entries[0], 3)
    accounts.site.set_faults("platform", outage="cut")
    for entry in accounts.entries:
        accounts.serve(entry, 2)
        gevent.sleep(WINDOW_S)
    accounts.site.set_faults("platform", outage="")
    assert accounts.wait_reported(accounts.served) == accounts.served


@pytest.mark.parametrize("accounts", [LONG_WINDOW_S], indirect=True)
def test_a_planned_stop_of_all_entries_flushes_everything(accounts):
    for entry in accounts.entries:
        accounts.serve(entry, 4)
    stops = [gevent.spawn(process.terminate) for process in accounts.site.entries]
    gevent.joinall(stops)
    assert [stop.value for stop in stops] == [0, 0]
    assert accounts.wait_reported(accounts.served) == accounts.served
