import logbook
import pytest

from hickoryloom.duties import LeasedTask
from hickoryloom.leases import Right

PAUSE_S = 0.5


class Holder:
    """Holds the lease as the test says, and writes down what is done under it."""

    def __init__(self):
        self.held = None
        self.ready = True
        self.done = []
        self.task = LeasedTask(
            self, self.begin, self.act, PAUSE_S, "task", logbook.Logger("hickoryloom.test")
        )

    def right(self):
        return self.held

    def begin(self, right):
        self.done.append(("begin", right.term))
        return self.ready

    def act(self, right):
        self.done.append(("act", right.term))
        return 0.1


@pytest.fixture
def holder():
    return Holder()


def right(term):
    return Right(term=term, until=1e9)


def test_nothing_is_done_without_the_lease(holder):
    assert holder.task.step() == PAUSE_S
    assert holder.done == []


def test_each_gain_of_the_lease_begins_anew(holder):
    for term in (3, 3, None, 3, 4):
        holder.held = None if term is None else right(term)
        holder.task.step()
    assert holder.done == [
        ("begin", 3),
        ("act", 3),
        ("act", 3),
        ("begin", 3),
        ("act", 3),
        ("begin", 4),
        ("act", 4),
    ]


def test_it_does_not_act_before_it_is_ready(holder):
    holder.held, holder.ready = right(1), False
    assert holder.task.step() == PAUSE_S
    holder.ready = True
    assert holder.task.step() == 0.1
    assert holder.done == [("begin", 1), ("begin", 1), ("act", 1)]
