"""Settings are validated as a whole, and messages never contain secrets."""

import json
from pathlib import Path

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hickoryloom.config import Settings, describe_options, load_settings, read_record
from hickoryloom.exceptions import ConfigurationError

VALID = {"instance": "entry-1", "failure_domain": "huta-a", "platform": "10.0.0.1:9000"}
EXAMPLES = Path(__file__).resolve().parents[3] / "examples"


def write(directory, value):
    path = directory / "entry.json"
    path.write_text(value if isinstance(value, str) else json.dumps(value))
    return path


def load_error(directory, value, environ=None):
    with pytest.raises(ConfigurationError) as caught:
        load_settings(write(directory, value), environ or {})
    assert caught.value.exit_code == 2
    return str(caught.value)


def test_valid_settings_use_defaults(tmp_path):
    assert load_settings(write(tmp_path, VALID), {}) == Settings(**VALID)


def test_error_lists_all_faults_with_file_key_found_allowed_and_remedy(tmp_path):
    value = {
        "instance": "Entry 1",
        "platform": "nowhere",
        "window_s": 0.5,
        "log_level": "LOUD",
        "seeds": ["10.0.0.2:8001", "10.0.0.2:99999"],
        "lisen": "127.0.0.1:0",
        "peer_listen": 8001,
    }
    message = load_error(tmp_path, value)
    lines = message.splitlines()
    assert lines[0] == "8 faults found:"
    for line in lines[1:]:
        assert str(tmp_path / "entry.json") in line and "; allowed: " in line and " found " in line
    for part in (
        'instance: found "Entry 1"',
        "failure_domain: found nothing",
        'platform: found "nowhere"; allowed: host:port with a port from 1 to 65535',
        "window_s: found 0.5; allowed: a number from 1 to 3600",
        'log_level: found "LOUD"; allowed: one of DEBUG',
        'seeds[1]: found "10.0.0.2:99999"',
        "lisen: found an unknown key",
        "Write 'listen' instead.",
        "peer_listen: found 8001",
    ):
        assert part in message


@pytest.mark.parametrize(
    ("text", "part"),
    [
        ("", "line 1, column 1"),
        ("{", "line 1, column 2"),
        ("[]", "found []; allowed: an object"),
        ('{"instance": "a", "instance": "b"}', "instance: found a duplicate key"),
        ('{"window_s": NaN}', "NaN, which is not a JSON number"),
        ("[" * 100_000, "nested"),
        ("null", "found null"),
    ],
)
def test_malformed_file_is_reported_with_its_position(tmp_path, text, part):
    assert part in load_error(tmp_path, text)


def test_missing_file_is_reported(tmp_path):
    with pytest.raises(ConfigurationError, match="nothing.json: found No such file"):
        load_settings(tmp_path / "nothing.json", {})


def test_environment_overrides_secret_files(tmp_path):
    (tmp_path / "secret").write_text("from-file\n")
    path = write(tmp_path, {**VALID, "peer_secret_file": "secret"})
    assert load_settings(path, {}).peer_secret == "from-file"
    environ = {"HICKORYLOOM_PEER_SECRET": "from-environment"}
    assert load_settings(path, environ).peer_secret == "from-environment"
    environ = {"HICKORYLOOM_BACKEND_CREDENTIAL_FILE": str(tmp_path / "secret")}
    settings = load_settings(path, environ)
    assert settings.backend_credential == "from-file"
    assert "from-file" not in repr(settings)


def test_faults_do_not_reveal_secrets(tmp_path):
    value = {**VALID, "peer_secret": "with spaces in it", "backend_credential": ["hidden-value"]}
    message = load_error(tmp_path, value)
    assert "2 faults" in message
    assert "spaces" not in message.replace("without spaces", "") and "hidden" not in message


@pytest.mark.parametrize(
    "extra",
    [
        {"peer_secret_file": "absent"},
        {"peer_secret_file": 3},
        {"peer_secret": "a", "peer_secret_file": "empty"},
        {"peer_secret_file": "empty"},
    ],
)
def test_faults_of_secret_files_are_reported(tmp_path, extra):
    (tmp_path / "empty").write_text("")
    assert "peer_secret_file" in load_error(tmp_path, {**VALID, **extra})


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=5,
)


@given(
    st.dictionaries(
        st.sampled_from([field.name for field in attrs.fields(Settings)]) | st.text(max_size=5),
        json_values,
    )
)
def test_any_json_yields_settings_or_faults(value):
    faults = []
    settings = read_record(Settings, value, "file", "", faults)
    assert (settings is None) == bool(faults)
    for fault in faults:
        assert fault.found and fault.allowed and fault.remedy


def test_every_setting_is_described():
    assert [key for key, _, _ in describe_options(Settings)] == [
        f.name for f in attrs.fields(Settings)
    ]


@pytest.mark.parametrize("user", ["studio", "franchise"])
@pytest.mark.parametrize("role", ["entry", "control"])
def test_example_settings_are_valid(user, role):
    settings = load_settings(EXAMPLES / user / "settings" / f"{role}.json", {})
    assert settings.peer_secret
