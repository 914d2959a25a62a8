"""The planner is compared with fixed numbers of servers on the same arrivals."""

from pathlib import Path

import attrs
import pytest

from hickoryloom.bench import format_ordering, read_ordering, run_ordering
from hickoryloom.exceptions import UsageError

EXPERIMENTS = Path(__file__).resolve().parents[3] / "bench" / "experiments"


@pytest.fixture(scope="module")
def results_by_policy():
    return run_ordering(read_ordering(EXPERIMENTS / "ordering-losses.json"))["policies"]


def test_planner_matches_the_fixed_peak_size_for_upper_tiers_at_a_lower_cost(results_by_policy):
    planned, peak = results_by_policy["planned"], results_by_policy["fixed-peak"]
    assert planned["attainment"][1] >= peak["attainment"][1] - 0.005
    assert planned["attainment"][2] >= peak["attainment"][2]
    assert planned["spending"] < peak["spending"]


def test_planner_exceeds_the_attainment_of_the_fixed_mean_size(results_by_policy):
    for tier in (1, 2):
        assert (
            results_by_policy["planned"]["attainment"][tier]
            > results_by_policy["fixed-mean"]["attainment"][tier]
        )


def test_most_lower_tier_work_runs_on_cheap_servers(results_by_policy):
    assert results_by_policy["planned"]["cheap_part"] > 0.5


def test_table_lists_every_policy():
    short = attrs.evolve(read_ordering(EXPERIMENTS / "ordering-studio.json"), duration_s=120)
    table = format_ordering(run_ordering(short))
    assert all(name in table for name in ("planned", "fixed-peak", "fixed-mean"))


def test_malformed_experiment_is_rejected(tmp_path):
    path = tmp_path / "bad.json"
    path.write_text('{"kind": "ordering", "name": "x", "sede": 1}')
    with pytest.raises(UsageError, match="sede"):
        read_ordering(path)
