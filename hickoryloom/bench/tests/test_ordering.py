"""Ordering against fixed sizes, on the same arrivals in one run."""

from pathlib import Path

import attrs
import pytest

from hickoryloom.bench import format_ordering, read_ordering, run_ordering
from hickoryloom.exceptions import UsageError

EXPERIMENTS = Path(__file__).resolve().parents[3] / "bench" / "experiments"


@pytest.fixture(scope="module")
def losses():
    return run_ordering(read_ordering(EXPERIMENTS / "ordering-losses.json"))["policies"]


def test_the_planner_serves_the_upper_tier_like_the_fixed_peak_size_for_less(losses):
    planned, peak = losses["planned"], losses["fixed-peak"]
    assert planned["attainment"][1] >= peak["attainment"][1] - 0.005
    assert planned["attainment"][2] >= peak["attainment"][2]
    assert planned["spending"] < peak["spending"]


def test_the_planner_serves_more_than_the_fixed_mean_size(losses):
    for tier in (1, 2):
        assert losses["planned"]["attainment"][tier] > losses["fixed-mean"]["attainment"][tier]


def test_most_lower_work_runs_on_cheap_servers_and_no_upper_work_does(losses):
    assert losses["planned"]["cheap_part"] > 0.5


def test_the_table_names_every_policy():
    short = attrs.evolve(read_ordering(EXPERIMENTS / "ordering-studio.json"), duration_s=120)
    table = format_ordering(run_ordering(short))
    assert all(name in table for name in ("planned", "fixed-peak", "fixed-mean"))


def test_a_malformed_experiment_is_refused(tmp_path):
    path = tmp_path / "bad.json"
    path.write_text('{"kind": "ordering", "name": "x", "sede": 1}')
    with pytest.raises(UsageError, match="sede"):
        read_ordering(path)
