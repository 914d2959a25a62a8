from hypothesis import given
from hypothesis import strategies as st

from hickoryloom.soak import draw_plan
from hickoryloom.soak.faults import FAULTS

KINDS = tuple(sorted(FAULTS))


@given(seed=st.integers(0, 10**9), seconds=st.floats(10, 200))
def test_plan_has_fault_free_time_at_start_and_end(seed, seconds):
    plan = draw_plan(seed, seconds, KINDS)
    assert plan == draw_plan(seed, seconds, KINDS)
    for fault in plan:
        assert fault.at_s >= 4.0
        assert fault.at_s + fault.for_s <= seconds - min(12.0, 0.3 * seconds) + 1e-6
        assert fault.kind in FAULTS and 0 <= fault.target < 1 and 0 <= fault.intensity < 1


def test_faults_overlap_and_form_series():
    plan = draw_plan(7, 120.0, KINDS)
    overlapping = [
        (fault, following)
        for fault, following in zip(plan, plan[1:], strict=False)
        if following.at_s < fault.at_s + fault.for_s
    ]
    assert len(overlapping) > len(plan) / 2
    assert any(fault.kind == following.kind for fault, following in overlapping)


def test_all_kinds_are_drawn_across_seeds():
    drawn = {fault.kind for seed in range(40) for fault in draw_plan(seed, 40.0, KINDS)}
    assert drawn == set(KINDS)
