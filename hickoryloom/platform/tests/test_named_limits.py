"""Real gateway processes, and a backend server that names the requests per second it takes."""

import time

import gevent
import pytest

from hickoryloom.platform.tests.standin import Backend, build_response, respond

pytestmark = [pytest.mark.processes, pytest.mark.seconds(40)]

LIMIT = 1.2
CONTACT_S = 3.0
WINDOW_S = 4.0
MAX_IN_WINDOW = 1.5 * LIMIT * WINDOW_S + 5


class LimitedServer:
    """A server that names a limit, and a second one that does not.

    Attributes:
        limit: The named limit; empty for none.
        turns_away: Whether it turns requests away half of the time, without naming its limit.
        arrivals: Monotonic time of each request at the limited server.
    """

    def __init__(self, site, service="app", turns_away=False):
        self.turns_away = turns_away
        self.limit = str(LIMIT)
        self.arrivals = []
        self.limited = site.add_backend(Backend("i-1", service, self._respond))
        self.other = site.add_backend(Backend("i-2", service, respond))

    def _respond(self, request):
        self.arrivals.append(time.monotonic())
        headers = {"Server_Limit": self.limit} if self.limit else {}
        if self.turns_away and time.monotonic() % 3.0 < 1.5:
            yield build_response(request, b"", 503, signed=False, Not_Executed="1")
            return
        yield build_response(request, **headers)

    def most_in_window(self, since):
        """Return the largest number of requests within `WINDOW_S` after `since`."""
        times = [at for at in self.arrivals if at >= since]
        return max((sum(at <= t < at + WINDOW_S for t in times) for at in times), default=0)


def send(gateways, seconds, statuses, pause_s=0.02):
    """Send requests from one caller at each gateway."""

    def run(gateway):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            number = len(statuses)
            statuses.append(gateway.call("/read/x", id=f"r{number}")[0])
            gevent.sleep(pause_s)

    gevent.joinall([gevent.spawn(run, gateway) for gateway in gateways], raise_error=True)


def test_a_server_gets_no_more_than_the_limit_that_it_names_from_all_instances(site):
    servers = LimitedServer(site)
    gateways = [site.start(f"edge-{number}") for number in range(1, 4)]
    statuses, started_at = [], time.monotonic()
    send(gateways, CONTACT_S + 3 * WINDOW_S, statuses)
    assert servers.most_in_window(started_at + CONTACT_S) <= MAX_IN_WINDOW
    assert statuses.count(200) == len(statuses)
    # It keeps working, at a fair part of what it can bear.
    later = [at for at in servers.arrivals if at > started_at + CONTACT_S]
    assert len(later) >= 0.4 * LIMIT * 3 * WINDOW_S


def test_requests_that_the_server_turns_away_do_not_end_its_limit(site):
    servers = LimitedServer(site, turns_away=True)
    gateways = [site.start(f"edge-{number}") for number in range(1, 4)]
    statuses, started_at = [], time.monotonic()
    send(gateways, CONTACT_S + 2 * WINDOW_S, statuses)
    assert servers.most_in_window(started_at + CONTACT_S) <= MAX_IN_WINDOW


def test_a_server_that_names_no_limit_any_more_gets_its_share_again(site):
    servers = LimitedServer(site)
    gateways = [site.start(f"edge-{number}") for number in range(1, 4)]
    send(gateways, CONTACT_S, [])
    servers.limit = ""
    send(gateways, 2 * WINDOW_S, [])
    assert servers.most_in_window(time.monotonic() - WINDOW_S) > 2 * MAX_IN_WINDOW
