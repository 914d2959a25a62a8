"""Each feature of the routing policy improves its figure on the same arrivals."""

import attrs
import pytest

from hickoryloom.bench.routing import EXPERIMENTS, run_routing

BY_NAME = {experiment.name: experiment for experiment in EXPERIMENTS}
SEEDS = (1, 2, 3)


def mean(name, disabled, figure):
    experiment = attrs.evolve(BY_NAME[name], duration_s=60.0)
    runs = [run_routing(experiment, disabled, seed) for seed in SEEDS]
    return sum(getattr(run, figure) for run in runs) / len(runs)


@pytest.mark.parametrize(
    "name, disabled, figure",
    [
        ("foreign-load", "reports", "first_mean_ms"),
        ("slow-engine", "response_times", "first_p99_ms"),
        ("slow-engine", "response_times", "engine0_part"),
        ("prefix-affinity", "affinity", "first_mean_ms"),
        ("prefix-affinity", "cache_events", "first_mean_ms"),
        ("failure-domain", "failure_domain", "other_domain_part"),
        ("ejection", "ejection", "failed_attempts"),
        ("slow-start", "slow_start", "first_p95_ms"),
    ],
)
def test_each_feature_improves_its_figure(name, disabled, figure):
    assert mean(name, "", figure) < mean(name, disabled, figure)


def test_ejection_reduces_failed_attempts_to_a_fifth():
    assert mean("ejection", "", "failed_attempts") < 0.2 * mean(
        "ejection", "ejection", "failed_attempts"
    )


def test_a_run_is_deterministic():
    experiment = attrs.evolve(BY_NAME["lagged-reports"], duration_s=20.0)
    assert run_routing(experiment, "", 7) == run_routing(experiment, "", 7)
