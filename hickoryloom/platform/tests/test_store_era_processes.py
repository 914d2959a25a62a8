"""Real gateway processes while the platform's store returns from an older copy."""

import gevent
import pytest

from hickoryloom.platform.tests.site import KEY
from hickoryloom.platform.tests.standin import Backend, respond
from tests.harness import wait_until

pytestmark = [pytest.mark.processes, pytest.mark.seconds(45)]

OTHER_KEY = "another-key"


@pytest.fixture
def site(site):
    site.configure(version=5, keys=(KEY, OTHER_KEY))
    return site


def in_force(gateway, version):
    return any(f"version={version} " in line for line in gateway.events("catalog-in-force"))


def test_a_withdrawn_key_does_not_return_with_a_copy(site):
    site.add_backend(Backend("i-1", "app", respond))
    copy = site.store.copy()
    gateway = site.start()
    assert gateway.call("/once/x", id="a", key=OTHER_KEY)[0] == 200
    site.configure(version=9)
    wait_until(lambda: in_force(gateway, 9))
    site.store.return_from(copy)
    for number in range(12):
        assert gateway.call("/once/x", id=f"b{number}", key=OTHER_KEY)[0] in (401, 503)
        gevent.sleep(0.25)
    site.configure(version=9)
    statuses = [503]
    while statuses[-1] == 503 and len(statuses) < 20:
        statuses.append(gateway.call("/once/x", id=f"c{len(statuses)}", key=OTHER_KEY)[0])
        gevent.sleep(0.25)
    assert set(statuses) == {503, 401}
    assert gateway.call("/once/x", id="d", key=KEY)[0] == 200
    site.configure(version=12, keys=(OTHER_KEY,))
    wait_until(lambda: in_force(gateway, 12))
    assert gateway.call("/once/x", id="e", key=OTHER_KEY)[0] == 200
    assert len(gateway.events("store-era-begun")) == 1


def test_a_server_that_left_after_the_copy_gets_no_request(site):
    left = site.add_backend(Backend("i-1", "app", respond))
    copy = site.store.copy()
    gateway = site.start()
    assert gateway.call("/once/x", id="a")[0] == 200
    stays = site.add_backend(Backend("i-2", "app", respond))
    site.store.remove("servers", "i-1")
    wait_until(lambda: gateway.events("backend-server-gone"))
    received = len(left.requests)
    site.store.return_from(copy)
    site.store.put("servers", "i-2", stays.registration())
    for number in range(10):
        assert gateway.call("/once/x", id=f"b{number}")[0] == 200
        gevent.sleep(0.2)
    assert len(left.requests) == received


def test_terms_increase_and_no_window_is_reported_with_two_figures(site):
    site.add_backend(Backend("i-1", "app", respond))
    gateway = site.start(usage_window_s=2)
    copy = site.store.copy()
    gateway.call("/once/x", id="a")
    wait_until(lambda: len(site.duties.usage) >= 1, 15.0)
    site.store.return_from(copy)
    site.configure(version=6)
    second = site.start("edge-2", usage_window_s=2)
    for number in range(8):
        second.call("/once/x", id=f"b{number}")
        gevent.sleep(0.5)
    reported = len(site.duties.usage)
    wait_until(lambda: len(site.duties.usage) >= reported + 2, 30.0)
    terms = [token for _, token, _ in site.duties.usage]
    assert terms == sorted(terms)
    assert terms[-1] > terms[0]
    counts = {}
    for _, _, body in site.duties.usage:
        assert counts.setdefault(body["window_id"], body["counts"]) == body["counts"]
