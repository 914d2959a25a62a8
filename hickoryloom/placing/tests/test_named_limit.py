"""Many instances that send to a server which names a limit."""

import random

import pytest

from hickoryloom.discovery import BackendServer
from hickoryloom.evidence import InstanceRanking, SharedRecords
from hickoryloom.placing import LIMITS, NamedLimits, parse_limit

WINDOW_S = 4.0
CONTACT_S = 3.0
STEP_S = 0.02
SPREAD_S = 0.3


def build_server(started_ms=1):
    return BackendServer(
        id="i-1",
        service="s",
        address="10.0.0.1:1",
        failure_domain="d",
        slots=8,
        leaving=False,
        started_ms=started_ms,
    )


class Fleet:
    """Instances that offer a server requests, and learn of each other's records after a while.

    Attributes:
        limit: What the server's responses name.
        arrivals: Time of each request at the server.
        views: Which instances each one knows; all of them by default.
    """

    def __init__(self, number, limit, seed=1):
        self.limit = limit
        self.server = build_server()
        self.arrivals = []
        self.now = 100.0
        self.rng = random.Random(seed)
        self.addresses = [f"10.0.1.{index}:1" for index in range(number)]
        self.records = [SharedRecords(f"p{index}", [LIMITS]) for index in range(number)]
        self.rankings = [InstanceRanking(address) for address in self.addresses]
        self.members = [
            NamedLimits(records, ranking)
            for records, ranking in zip(self.records, self.rankings, strict=True)
        ]
        self._under_way = []
        for ranking in self.rankings:
            ranking.set_others(self.addresses)

    def run(self, seconds, asking=None, offered_per_s=30.0):
        """Offer requests at random instances, of those in `asking` if it is not None."""
        asking = range(len(self.members)) if asking is None else asking
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            self._exchange()
            if self.rng.random() < offered_per_s * STEP_S:
                self._offer(self.members[self.rng.choice(asking)])

    def _offer(self, member):
        if member.rest_s(self.server, self.now):
            return
        member.record_sent(self.server, self.now)
        self.arrivals.append(self.now)
        member.note(self.server, self.limit, self.now - 0.001, self.now)

    def _exchange(self):
        for index, records in enumerate(self.records):
            changes = records.take_changes()
            if changes:
                self._under_way.append((self.now + SPREAD_S, index, changes))
        due = [item for item in self._under_way if item[0] <= self.now]
        self._under_way = [item for item in self._under_way if item[0] > self.now]
        for _, source, changes in due:
            for index, records in enumerate(self.records):
                if index != source:
                    records.merge(changes, self.now)
                    records.take_changes()

    def most_in_window(self, since):
        times = [at for at in self.arrivals if at >= since]
        return max((sum(at <= t < at + WINDOW_S for t in times) for at in times), default=0)


@pytest.mark.parametrize("limit", [0.0, 0.3, 1.0, 1.2, 5.0, 20.0])
@pytest.mark.parametrize("number", [1, 2, 6, 195])
def test_all_instances_together_keep_to_the_limit_and_use_it(number, limit):
    fleet = Fleet(number, str(limit))
    started_at = fleet.now
    fleet.run(40.0, offered_per_s=max(30.0, 30 * limit))
    assert fleet.most_in_window(started_at + CONTACT_S) <= 1.5 * limit * WINDOW_S + 5
    served = sum(at > started_at + CONTACT_S for at in fleet.arrivals)
    assert served >= 0.3 * limit * (40.0 - CONTACT_S)
    assert served >= 3


def test_another_instance_takes_its_turn_where_the_owners_send_nothing():
    fleet = Fleet(12, "1.0")
    fleet.run(5.0)
    owners = [index for index, ranking in enumerate(fleet.rankings) if ranking.rank("i-1|1") < 5]
    others = [index for index in range(12) if index not in owners]
    before = len(fleet.arrivals)
    fleet.run(40.0, asking=others)
    assert len(fleet.arrivals) >= before + 5
    assert fleet.most_in_window(103.0) <= 11


def test_instances_that_know_different_others_stay_near_the_limit():
    fleet = Fleet(6, "1.0")
    fleet.rankings[2].set_others(fleet.addresses[2:5])
    fleet.rankings[4].set_others(fleet.addresses[:5])
    fleet.run(40.0)
    assert fleet.most_in_window(103.0) <= 11


def test_an_instance_that_knows_no_others_sends_nothing():
    fleet = Fleet(2, "1.0")
    fleet.members[0] = NamedLimits(fleet.records[0], InstanceRanking("10.0.1.0:1"))
    fleet.run(1.0, asking=[1])
    assert fleet.members[0].rest_s(fleet.server, fleet.now) > 0


def test_the_limit_ends_with_a_response_that_names_none():
    fleet = Fleet(6, "1.0")
    fleet.run(10.0)
    fleet.limit = ""
    fleet.run(10.0)
    before = len(fleet.arrivals)
    fleet.run(4.0)
    assert len(fleet.arrivals) > before + 60


def test_the_response_to_an_earlier_request_does_not_end_the_limit():
    fleet = Fleet(1, "1.0")
    member = fleet.members[0]
    member.note(fleet.server, "1.0", 99.0, 100.0)
    member.note(fleet.server, "", 99.5, 100.5)
    assert member.rest_s(fleet.server, 100.5) > 0
    member.note(fleet.server, "", 100.2, 100.6)
    assert member.rest_s(fleet.server, 100.6) == 0


def test_a_new_start_of_the_server_has_no_limit():
    fleet = Fleet(1, "1.0")
    member = fleet.members[0]
    member.note(fleet.server, "0.5", 99.0, 100.0)
    assert member.rest_s(fleet.server, 100.1) > 0
    assert member.rest_s(build_server(started_ms=2), 100.1) == 0


@pytest.mark.parametrize(
    ("value", "limit", "sound"),
    [
        ("1.2", 1.2, True),
        ("0", 0.0, True),
        (" 3 ", 3.0, True),
        ("-1", 0.0, False),
        ("9" * 200, 1_000_000.0, False),
        ("1e9", None, False),
        ("nan", None, False),
        ("1.2, 1.2", None, False),
        ("9" * 10_000, None, False),
        ("", None, False),
    ],
)
def test_values(value, limit, sound):
    assert parse_limit(value) == (limit, sound)


def test_an_unreadable_value_leaves_the_limit_as_it_is():
    member = Fleet(1, "").members[0]
    server = build_server()
    member.note(server, "soon", 99.0, 100.0)
    assert member.rest_s(server, 100.0) == 0
    member.note(server, "1", 99.0, 100.0)
    member.note(server, "soon", 100.1, 100.2)
    assert member.rest_s(server, 100.2) > 0
