"""The cost and the propagation time of the configuration stay within their targets."""

import pytest

from hickoryloom.bench.configuration import measure_followers, measure_size

pytestmark = pytest.mark.bench

CONTROL_PROCESS_MEMORY_MB = 64
MAX_PROPAGATION_MS = 1000
MAX_TIME_RATIO = 2
PLANNED_CUSTOMERS = 11_000
MAX_VALUE_BYTES = 1_000_000


def test_the_planned_size_stays_within_limits_and_a_change_reads_no_shard():
    small, planned = measure_size(10), measure_size(PLANNED_CUSTOMERS)
    assert planned["memory_mb"] < CONTROL_PROCESS_MEMORY_MB
    assert planned["largest_shard_bytes"] < MAX_VALUE_BYTES / 4
    assert planned["root_bytes"] < MAX_VALUE_BYTES / 4
    assert planned["shard_reads_per_change"] == 0
    assert planned["authenticate_us"] <= MAX_TIME_RATIO * small["authenticate_us"]
    assert planned["publisher_calls_per_change"] == small["publisher_calls_per_change"]


def test_a_change_reaches_seven_followers_within_the_target():
    assert measure_followers(7, changes=8)["issue_to_in_force_max_ms"] < MAX_PROPAGATION_MS
