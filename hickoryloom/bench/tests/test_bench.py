"""Experiments are deterministic, and the chosen policy outperforms the baselines."""

import json
from pathlib import Path

import attrs
import pytest

from hickoryloom.__main__ import main
from hickoryloom.bench import read_experiment, run_experiment
from hickoryloom.bench.driver import Driver
from hickoryloom.bench.measures import MEASURES
from hickoryloom.exceptions import UsageError

pytestmark = pytest.mark.seconds(42)

EXPERIMENTS = Path(__file__).resolve().parents[3] / "bench" / "experiments"
BASELINES = ("fcfs-round-robin", "least-in-flight", "strict-priority")


def load_experiment(name, **changes):
    return attrs.evolve(read_experiment(EXPERIMENTS / f"{name}.json"), **changes)


@pytest.mark.parametrize("name", ["studio", "domain-loss"])
def test_a_run_is_deterministic(name):
    short = load_experiment(name, duration_s=52.0, policies=("chosen",))
    assert run_experiment(short) == run_experiment(short)


@pytest.mark.parametrize("name", ["studio", "franchise", "four-times", "domain-loss"])
def test_the_chosen_policy_outperforms_each_baseline(name):
    policies = run_experiment(load_experiment(name, policies=("chosen", *BASELINES)))["policies"]
    chosen = policies["chosen"]["measures"]
    for baseline in BASELINES:
        measures = policies[baseline]["measures"]
        for measure_name in ("attainment_top_tier", "goodput_tokens_s", "worst_customer"):
            assert chosen[measure_name] > measures[measure_name], (baseline, measure_name)
        assert chosen["cost_per_good_mtoken"] < measures["cost_per_good_mtoken"]
    assert chosen["order_violations"] == 0


def test_goodput_recovers_within_the_longest_target_after_a_burst():
    metastability = load_experiment("metastability", policies=("chosen",))
    measures = run_experiment(metastability)["policies"]["chosen"]["measures"]
    longest_s = max(c.first_token_ms for c in metastability.classes) / 1000
    assert measures["recovery_s"] <= longest_s


def test_every_request_has_ended_after_a_run():
    driver = Driver(load_experiment("studio", duration_s=30.0), "chosen")
    journal = driver.run()
    assert all(submission.ended_at is not None for submission in journal.submissions)
    assert all(e.policy.admission.pools["assistant"].in_flight == 0 for e in driver._entries)
    assert all(e.policy.admission.pools["assistant"].waiting == 0 for e in driver._entries)


def test_the_command_prints_a_table_and_writes_a_report(tmp_path, capsys):
    source = json.loads((EXPERIMENTS / "studio.json").read_text())
    path = tmp_path / "short.json"
    path.write_text(json.dumps({**source, "duration_s": 5}))
    report = tmp_path / "report.json"
    assert main(["bench", str(path), "--policy", "chosen", "--report", str(report)]) == 0
    assert "attainment_top_tier" in capsys.readouterr().out
    measures = json.loads(report.read_text())[0]["policies"]["chosen"]["measures"]
    assert set(measures) == set(MEASURES)


def test_an_invalid_file_is_rejected_with_its_errors(tmp_path):
    path = tmp_path / "bad.json"
    path.write_text('{"name": "x", "colour": 3}')
    with pytest.raises(UsageError, match="colour"):
        read_experiment(path)
