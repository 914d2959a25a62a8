import logbook
import pytest

from hickoryloom.duties import LeasedTask
from hickoryloom.leases import LeaseGrant

PAUSE_S = 0.5


class FakeDutyClient:
    """Holds the lease as set by the test and records the calls made under it."""

    def __init__(self):
        self.held = None
        self.prepare_result = True
        self.calls = []
        self.task = LeasedTask(
            self, self.prepare, self.act, PAUSE_S, "task", logbook.Logger("hickoryloom.test")
        )

    def current_grant(self):
        return self.held

    def prepare(self, grant):
        self.calls.append(("begin", grant.term))
        return self.prepare_result

    def act(self, grant):
        self.calls.append(("act", grant.term))
        return 0.1


@pytest.fixture
def fake_client():
    return FakeDutyClient()


def grant(term):
    return LeaseGrant(term=term, until=1e9)


def test_no_action_without_the_lease(fake_client):
    assert fake_client.task.step() == PAUSE_S
    assert fake_client.calls == []


def test_prepares_again_after_each_acquisition(fake_client):
    for term in (3, 3, None, 3, 4):
        fake_client.held = None if term is None else grant(term)
        fake_client.task.step()
    assert fake_client.calls == [
        ("begin", 3),
        ("act", 3),
        ("act", 3),
        ("begin", 3),
        ("act", 3),
        ("begin", 4),
        ("act", 4),
    ]


def test_no_action_before_preparation_succeeds(fake_client):
    fake_client.held, fake_client.prepare_result = grant(1), False
    assert fake_client.task.step() == PAUSE_S
    fake_client.prepare_result = True
    assert fake_client.task.step() == 0.1
    assert fake_client.calls == [("begin", 1), ("begin", 1), ("act", 1)]
