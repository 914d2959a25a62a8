from hypothesis import given
from hypothesis import strategies as st

from hickoryloom.catalog import ScalingBounds
from hickoryloom.duties import DutyOutcome
from hickoryloom.scaling import Group, OrderBook, plan_servers
from hickoryloom.scaling.orders import NONE_TO_BE_HAD_S, REPEAT_S
from hickoryloom.scaling.sizing import PEAK_MEMORY_S, DemandPeak, Plan

DOMAINS = ("a", "b", "c")
PRICES = {"a": 0.85, "b": 1.2, "c": 1.0}


def bounds(low=1, high=6, price=0.18):
    return ScalingBounds(low, high, 4.0, price, PRICES)


@given(st.floats(0, 100), st.integers(0, 3), st.integers(0, 6), st.sampled_from([None, 0.2]))
def test_plans_keep_the_bounds_of_each_failure_domain(busy, low, extra, price):
    found = bounds(low, low + extra, price)
    plan = plan_servers(busy, found, DOMAINS)
    for domain in DOMAINS:
        number = plan.firm[domain] + plan.reclaimable[domain]
        assert low <= number <= low + extra
        assert plan.reclaimable[domain] >= 0


def test_a_burst_of_three_times_finds_its_engines_running():
    plan = plan_servers(2.5, bounds(), DOMAINS)
    assert plan.total >= 2.5 * 3


def test_most_are_reclaimable_and_no_failure_domain_holds_over_half_of_them():
    plan = plan_servers(2.0, bounds(), DOMAINS)
    assert 1 <= sum(plan.firm.values()) <= 2
    assert max(plan.reclaimable.values()) <= sum(plan.reclaimable.values()) / 2


def test_a_peak_is_kept_for_a_while():
    peak = DemandPeak()
    assert peak.add(9.0, 0.0) == 9.0
    assert peak.add(1.0, PEAK_MEMORY_S - 1) == 9.0
    assert peak.add(1.0, PEAK_MEMORY_S + 1) == 1.0


def group(domain, reclaimable):
    return Group("s", domain, reclaimable)


def test_firm_servers_go_only_as_others_stand():
    book = OrderBook("s")
    plan = Plan({"a": 1}, {"a": 3})
    standing = {group("a", False): 4}
    wanted = book.wanted(plan, standing, 0.0)
    assert wanted == {group("a", True): 3, group("a", False): 4}
    standing[group("a", True)] = 3
    assert book.wanted(plan, standing, 5.0)[group("a", False)] == 1


def test_an_order_whose_fate_is_unknown_is_given_again():
    book = OrderBook("s")
    one = group("a", True)
    book.note(one, 3, DutyOutcome.UNKNOWN, 0.0)
    assert book.due({one: 3}, {one: 3}, 0.1) == [(one, 3)]
    book.note(one, 3, DutyOutcome.DONE, 0.2)
    assert book.due({one: 3}, {one: 3}, 0.3) == []


def test_an_order_undone_by_a_late_one_is_given_again():
    book = OrderBook("s")
    one = group("a", True)
    book.note(one, 3, DutyOutcome.DONE, 0.0)
    assert book.due({one: 3}, {one: 1}, REPEAT_S - 0.1) == []
    assert book.due({one: 3}, {one: 1}, REPEAT_S) == [(one, 3)]


def test_where_none_can_be_had_no_order_is_repeated_for_a_while():
    book = OrderBook("s")
    one = group("a", True)
    book.note(one, 3, DutyOutcome.NONE_TO_BE_HAD, 0.0)
    plan = Plan({"a": 0}, {"a": 3})
    assert one not in dict(book.due(book.wanted(plan, {one: 1}, 1.0), {one: 1}, 1.0))
    later = NONE_TO_BE_HAD_S + 1
    assert dict(book.due(book.wanted(plan, {one: 1}, later), {one: 1}, later))[one] == 3


def test_firm_servers_stand_in_only_for_what_the_load_needs():
    """Plays the loss of two failure domains of reclaimable servers when no others can be had."""
    book = OrderBook("s")
    plan = plan_servers(6.0, bounds(), DOMAINS, 6.0)
    standing = {group("a", True): plan.reclaimable["a"], group("a", False): plan.firm["a"]}
    for domain in ("b", "c"):
        book.note(group(domain, True), 4, DutyOutcome.NONE_TO_BE_HAD, 0.0)
    wanted = book.wanted(plan, standing, 1.0)
    assert sum(wanted.values()) >= plan.least
    firm = sum(number for one, number in wanted.items() if not one.reclaimable)
    assert firm <= plan.least
    calm = plan_servers(6.0, bounds(), DOMAINS, 0.2)
    wanted = book.wanted(calm, standing, 1.0)
    assert sum(number for one, number in wanted.items() if not one.reclaimable) <= 2


def test_a_reclaimed_server_is_ordered_anew_at_once():
    book = OrderBook("s")
    one = group("a", True)
    book.note(one, 3, DutyOutcome.DONE, 0.0)
    assert book.due({one: 3}, {one: 3}, 0.5) == []
    assert book.due({one: 3}, {one: 1}, 1.0) == [(one, 3)]
    book.note(one, 3, DutyOutcome.DONE, 1.0)
    assert book.due({one: 3}, {one: 1}, 2.0) == []


def test_stand_ins_stay_ordered_until_reclaimable_servers_can_be_had_again():
    """Plays ten seconds in which none can be had, asked for again and again."""
    book = OrderBook("s")
    plan = Plan({"a": 1}, {"a": 5}, least=5)
    standing = {group("a", False): 1}
    ordered = []
    for second in range(10):
        for one, number in book.due(book.wanted(plan, standing, second), standing, second):
            outcome = DutyOutcome.NONE_TO_BE_HAD if one.reclaimable else DutyOutcome.DONE
            book.note(one, number, outcome, second)
            if not one.reclaimable:
                ordered.append(number)
    assert ordered[-1] == 5
    assert 1 not in ordered[ordered.index(5) :]
    book.note(group("a", True), 5, DutyOutcome.DONE, 10.0)
    assert book.wanted(plan, standing, 10.0)[group("a", False)] == 1
