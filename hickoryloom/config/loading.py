"""Loads a process's settings from its file, secret files and the environment."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from hickoryloom.config.faults import Fault, faults_error
from hickoryloom.config.json_files import read_json_file
from hickoryloom.config.options import show
from hickoryloom.config.records import read_record
from hickoryloom.config.settings import Settings

__all__ = ["SECRETS", "load_settings", "read_settings_file"]

SECRETS = ("backend_credential", "peer_secret")
ENVIRONMENT_PREFIX = "HICKORYLOOM_"
MAX_SECRET_BYTES = 4096


def load_settings(path: str | Path, environ: Mapping[str, str]) -> Settings:
    """Read and check the settings of a process.

    A secret may stand in the file, in a file that `<secret>_file` names (relative to the settings)
    or in the environment as `HICKORYLOOM_<SECRET>` or `HICKORYLOOM_<SECRET>_FILE`; the environment
    wins over the file.

    Args:
        path: The settings file.
        environ: The process's environment.

    Raises:
        ConfigurationError: Something is missing, malformed, unknown or out of range; the message
            lists every fault.
    """
    found = read_settings_file(path, environ)
    if isinstance(found, Err):
        raise faults_error(found.err_value)
    return found.ok_value


def read_settings_file(
    path: str | Path, environ: Mapping[str, str]
) -> Result[Settings, list[Fault]]:
    """Read and check the settings of a process, or return all their faults."""
    path = Path(path)
    loaded = read_json_file(path)
    if loaded.is_err():
        return Err([loaded.unwrap_err()])
    faults: list[Fault] = []
    value = loaded.unwrap()
    if isinstance(value, dict):
        value = _with_secrets(dict(value), path, environ, faults)
    settings = read_record(Settings, value, str(path), "", faults)
    return Err(faults) if faults else Ok(settings)


def _with_secrets(
    value: dict[str, Any], path: Path, environ: Mapping[str, str], faults: list[Fault]
) -> dict[str, Any]:
    for secret in SECRETS:
        _apply_file(value, secret, path, faults)
        _apply_environment(value, secret, environ, faults)
    return value


def _apply_file(value: dict[str, Any], secret: str, path: Path, faults: list[Fault]) -> None:
    key = f"{secret}_file"
    if key not in value:
        return
    name = value.pop(key)
    if secret in value:
        allowed = f"either {secret} or {key}"
        faults.append(Fault(str(path), key, "both keys", allowed, "Remove one of them."))
    elif not isinstance(name, str) or not name:
        faults.append(Fault(str(path), key, show(name), "a path", "Name a file."))
    else:
        _read_secret(value, secret, path.parent / name, f"{path}: {key}", faults)


def _apply_environment(
    value: dict[str, Any], secret: str, environ: Mapping[str, str], faults: list[Fault]
) -> None:
    variable = f"{ENVIRONMENT_PREFIX}{secret.upper()}"
    if variable in environ:
        value[secret] = environ[variable]
    elif f"{variable}_FILE" in environ:
        name = Path(environ[f"{variable}_FILE"])
        _read_secret(value, secret, name, f"environment: {variable}_FILE", faults)


def _read_secret(
    value: dict[str, Any], secret: str, name: Path, place: str, faults: list[Fault]
) -> None:
    try:
        raw = name.read_bytes()
    except OSError as error:
        found = f"{name}, {error.strerror}"
        faults.append(Fault(place, "", found, "a readable file", "Check path and permissions."))
        return
    if not raw.strip() or len(raw) > MAX_SECRET_BYTES:
        allowed = f"1 to {MAX_SECRET_BYTES} bytes"
        faults.append(Fault(place, "", f"{len(raw)} bytes in {name}", allowed, "Mend the file."))
        return
    value[secret] = raw.decode("utf-8", errors="replace").strip()
