"""The load: reclaimable engines of a failure domain are taken away amid a burst, and answers to
orders are lost meanwhile. What counts is when stand-ins are ordered."""

import time

import attrs
import gevent
import pytest

from hickoryloom.catalog import Catalog, ScalingBounds, Service
from hickoryloom.clock import SystemClock
from hickoryloom.discovery import BackendServer
from hickoryloom.duties import DutyOutcome
from hickoryloom.leases import Right
from hickoryloom.metering import ServiceDemand
from hickoryloom.scaling import Group, Scaler
from hickoryloom.scaling.task import ANSWER_WAIT_S

DOMAINS = ("a", "b", "c")
LOST_S = 1.0


class Site:
    """A catalog, a live list, and orders that may be lost or refused."""

    def __init__(self):
        bounds = ScalingBounds(1, 20, 4.0, 0.2, dict.fromkeys(DOMAINS, 1.0))
        service = attrs.evolve(Service("s"), scaling=bounds)
        self.catalog = attrs.evolve(Catalog(), services={"s": service})
        self.servers = []
        self.lost, self.none, self.orders = set(), set(), []
        self.scaler = Scaler(
            None, SystemClock(), time.time, self, self, self, self, "i", self.prefill_s
        )
        self.scaler._demand = {"s": ServiceDemand(prompt_tokens_per_s=40.0)}
        self.scaler._read_at = time.monotonic() + 1e9
        self.right = Right(term=1, until=1e9)
        self.scaler._begin_term(self.right)

    def prefill_s(self, service, tokens):
        return tokens

    def stand(self, domain, reclaimable, number):
        for _ in range(number):
            self.servers.append(
                BackendServer(
                    id=f"b{len(self.servers)}",
                    service="s",
                    address="127.0.0.1:1",
                    failure_domain=domain,
                    slots=8,
                    reclaimable=reclaimable,
                )
            )

    # What the scaler asks of codec and caller.
    def order(self, group, number, holder, term):
        return group, number

    def read(self, answer):
        raise AssertionError("answers are decided by the site")

    def call(self, call, right, read):
        group, number = call
        self.orders.append((group, number))
        if group in self.lost:
            gevent.sleep(LOST_S)
            return DutyOutcome.UNKNOWN
        return DutyOutcome.NONE_TO_BE_HAD if group in self.none else DutyOutcome.DONE


@pytest.fixture
def site():
    return Site()


def test_a_lost_answer_holds_up_no_other_order(site):
    site.lost = {Group("s", "a", True)}
    began = time.monotonic()
    site.scaler._order_due(site.right)
    assert time.monotonic() - began < ANSWER_WAIT_S + 0.3
    assert {group for group, _ in site.orders} == {
        Group("s", domain, reclaimable) for domain in DOMAINS for reclaimable in (True, False)
    }


def test_an_order_under_way_is_not_given_twice(site):
    site.lost = {Group("s", "a", True)}
    site.scaler._order_due(site.right)
    site.scaler._order_due(site.right)
    assert sum(group == Group("s", "a", True) for group, _ in site.orders) == 1
    gevent.sleep(LOST_S)
    site.scaler._order_due(site.right)
    assert sum(group == Group("s", "a", True) for group, _ in site.orders) == 2


def test_stand_ins_are_ordered_at_once_for_what_can_not_be_had(site):
    """Two of three failure domains were taken away, and nothing reclaimable is to be had."""
    site.stand("a", True, 18)
    for domain in DOMAINS:
        site.stand(domain, False, 2)
    site.none = {Group("s", domain, True) for domain in ("b", "c")}
    site.scaler._order_due(site.right)
    firm = {}
    for group, number in site.orders:
        if not group.reclaimable:
            firm[group.failure_domain] = number
    assert sum(firm.values()) + 18 >= 40 / 0.9
