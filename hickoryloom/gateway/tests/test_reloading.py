import attrs
import logbook
import pytest

from hickoryloom.exceptions import ConfigurationError
from hickoryloom.gateway.reloading import (
    LIVE_SETTINGS,
    POSITIVE_SETTINGS,
    SettingsReloader,
    file_fingerprint,
)
from hickoryloom.gateway.settings import GatewaySettings

SETTINGS = GatewaySettings("i", "d", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")


class SettingsFile:
    """In-memory settings file."""

    def __init__(self):
        self.settings = SETTINGS
        self.fingerprint = 0
        self.applied = []
        self.reads = 0
        self.reload = SettingsReloader(
            SETTINGS, self.read, lambda: self.fingerprint, self.applied.append, 0
        )

    def read(self):
        self.reads += 1
        if self.settings is None:
            raise ConfigurationError("settings file 'x' is not YAML")
        return self.settings

    def write(self, **changed):
        self.settings = attrs.evolve(SETTINGS, **changed)
        self.fingerprint += 1


@pytest.fixture
def settings_file():
    return SettingsFile()


def test_an_unchanged_file_is_not_read(settings_file):
    settings_file.reload.check()
    assert settings_file.reads == 0


def test_a_change_without_a_signal_is_applied_once(settings_file):
    settings_file.write(retry_ratio=0.5)
    settings_file.reload.check()
    settings_file.reload.check()
    assert [applied.retry_ratio for applied in settings_file.applied] == [0.5]
    assert settings_file.reads == 1


def test_a_signal_reloads_even_if_the_file_is_unchanged(settings_file):
    settings_file.settings = attrs.evolve(SETTINGS, revoke_s=3.0)
    settings_file.reload.reload()
    assert [applied.revoke_s for applied in settings_file.applied] == [3.0]


def test_a_repeated_signal_without_a_change_applies_nothing(settings_file):
    settings_file.reload.reload()
    settings_file.reload.reload()
    assert settings_file.applied == []


def test_invalid_settings_are_ignored_and_later_valid_ones_applied(settings_file):
    settings_file.settings = None
    settings_file.reload.reload()
    assert settings_file.applied == []
    settings_file.write(stop_s=4.0)
    settings_file.reload.check()
    assert [applied.stop_s for applied in settings_file.applied] == [4.0]


def test_settings_that_need_a_restart_are_not_applied(settings_file):
    settings_file.write(listen="127.0.0.1:9", store="127.0.0.1:8", apply_s=1.0)
    settings_file.reload.check()
    (applied,) = settings_file.applied
    assert (applied.listen, applied.store, applied.apply_s) == (
        SETTINGS.listen,
        SETTINGS.store,
        1.0,
    )


def test_live_settings_exist():
    assert {field.name for field in attrs.fields(GatewaySettings)} >= LIVE_SETTINGS


def test_a_file_that_is_replaced_has_another_state(tmp_path):
    path = tmp_path / "settings"
    assert file_fingerprint(str(path)) is None
    path.write_text("a")
    first = file_fingerprint(str(path))
    other = tmp_path / "other"
    other.write_text("b")
    other.replace(path)
    assert first is not None and file_fingerprint(str(path)) != first


def test_a_file_that_cannot_be_read_for_any_reason_changes_nothing(settings_file):
    """Guards against an unlogged end of a reload by an error that no parser declares."""

    def fail():
        raise RecursionError("nested too deeply")

    settings_file.reload = SettingsReloader(
        SETTINGS, fail, lambda: settings_file.fingerprint, settings_file.applied.append, 0
    )
    with logbook.TestHandler() as handler:
        settings_file.reload.reload()
    assert settings_file.applied == []
    assert "event=settings-unsound" in handler.formatted_records[-1]


@pytest.mark.parametrize("name", sorted(POSITIVE_SETTINGS))
@pytest.mark.parametrize("value", [0.0, -1.0])
def test_a_bound_under_which_no_request_is_served_is_not_applied(settings_file, name, value):
    """Guards against refusing all callers after a reload, such as with a revocation time of 0."""
    settings_file.write(**{name: value, "retry_ratio": 0.5})
    with logbook.TestHandler() as handler:
        settings_file.reload.check()
    assert settings_file.applied == []
    assert f"{name}=" in handler.formatted_records[-1]


def test_settings_that_fail_to_apply_are_taken_back(settings_file):
    """Guards against settings of which a part is in force."""

    def apply(settings):
        settings_file.applied.append(settings.retry_ratio)
        if settings.retry_ratio == 0.5:
            raise ZeroDivisionError("division by zero")

    settings_file.reload = SettingsReloader(
        SETTINGS, settings_file.read, lambda: settings_file.fingerprint, apply, 0
    )
    for ratio in (0.5, 0.4, 0.5):
        settings_file.write(retry_ratio=ratio)
        settings_file.reload.check()
    kept = SETTINGS.retry_ratio
    assert settings_file.applied == [0.5, kept, 0.4, 0.5, 0.4]
