import pytest
import yaml

from hickoryloom.exceptions import ConfigurationError
from hickoryloom.platform.settings import FILE_VARIABLE, read_settings

GOOD = {
    "node_name": "edge-1",
    "ip": "10.0.0.1",
    "zone": "zone-a",
    "listen": {"frontend": "10.0.0.1:80", "readiness": "10.0.0.1:81"},
    "internal_port_range": [7200, 7215],
    "bounds": {"revoke_ms": 4000, "lease_ms": 3000, "config_apply_ms": 3000, "new_field": 1},
    "platform": {"address": "10.0.0.9:82", "writes_per_s": 1200, "reads_per_s": 6000},
    "cloud_api": {"address": "10.0.0.8:83", "duties": ["usage_report"]},
    "unknown": {"ignored": True},
}


def read(folder, content):
    path = folder / "node.yaml"
    path.write_text(content if isinstance(content, str) else yaml.safe_dump(content))
    return read_settings({FILE_VARIABLE: str(path)})


def test_fields_are_decoded_and_converted_to_seconds(tmp_path):
    settings = read(tmp_path, GOOD)
    assert settings.instance == "edge-1"
    assert settings.operators == "10.0.0.1:7200"
    assert (settings.revoke_s, settings.lease_s, settings.apply_s) == (4.0, 3.0, 3.0)
    assert settings.catch_up_s == 3.0
    assert (settings.warm_up_overrun, settings.warm_up_tolerance) == (1.0, 0.0)
    assert settings.store_writes_per_s == 1200
    assert settings.reports_usage and not settings.orders_servers


@pytest.mark.parametrize(
    ("contracts", "shares_room", "spreads_prompts"),
    [
        ([], False, False),
        (["base", "tenants"], False, False),
        (["base", "places"], False, False),
        (["base", "pressure"], True, True),
        ([["pressure"], 3], False, False),
    ],
)
def test_contracts_switch_features_on(tmp_path, contracts, shares_room, spreads_prompts):
    """Guards against features that are on in deployments that don't ask for them."""
    settings = read(tmp_path, {**GOOD, "contracts": contracts})
    assert settings.shares_room is shares_room
    assert settings.spreads_prompts is spreads_prompts
    assert settings.weighs_failure_domains is shares_room
    assert settings.bounds_memory is shares_room
    assert settings.memory_bytes == 0


def test_the_memory_of_the_instance_is_decoded(tmp_path):
    limits = {"memory_mb": 160}
    assert read(tmp_path, {**GOOD, "limits": limits}).memory_bytes == 160_000_000


def test_the_bounds_of_cold_servers_are_decoded(tmp_path):
    bounds = {"warmup_overrun": 1.5, "warmup_tolerance": 5}
    settings = read(tmp_path, {**GOOD, "bounds": bounds})
    assert (settings.warm_up_overrun, settings.warm_up_tolerance) == (1.5, 5.0)


@pytest.mark.parametrize(
    ("changed", "told"),
    [
        ({"node_name": 7}, "'node_name' is 7"),
        ({"zone": None}, "'zone' is None"),
        ({"listen": {"frontend": "a:1"}}, "'readiness'"),
        ({"listen": "a:1"}, "'listen'"),
        ({"bounds": {"revoke_ms": "soon"}}, "'revoke_ms' is 'soon'"),
        ({"platform": {}}, "'address'"),
    ],
)
def test_an_invalid_field_is_named_with_its_file(tmp_path, changed, told):
    with pytest.raises(ConfigurationError) as raised:
        read(tmp_path, {**GOOD, **changed})
    assert told in str(raised.value)
    assert "node.yaml" in str(raised.value)


@pytest.mark.parametrize("found", ["a: [", "just text", "", "- 1"])
def test_a_file_that_is_not_a_mapping_is_rejected(tmp_path, found):
    with pytest.raises(ConfigurationError):
        read(tmp_path, found)


@pytest.mark.parametrize(
    "content", [b"a: 2026-99-99", b"a: \xff\xfe", b"[" * 5000, b"a: " + b"7" * 5000]
)
def test_every_error_of_the_parser_is_reported_with_the_file(tmp_path, content):
    """Guards against errors that the parser doesn't declare, such as for an impossible date."""
    path = tmp_path / "node.yaml"
    path.write_bytes(content)
    with pytest.raises(ConfigurationError, match=r"node\.yaml"):
        read_settings({FILE_VARIABLE: str(path)})


def test_a_missing_file_or_variable_is_reported(tmp_path):
    with pytest.raises(ConfigurationError, match=FILE_VARIABLE):
        read_settings({})
    with pytest.raises(ConfigurationError, match="nowhere"):
        read_settings({FILE_VARIABLE: str(tmp_path / "nowhere")})
