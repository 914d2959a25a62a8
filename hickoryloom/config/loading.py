"""Loads the settings of a process from its settings file, secret files and environment."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from hickoryloom.config.faults import Fault, faults_error
from hickoryloom.config.json_files import read_json_file
from hickoryloom.config.options import format_value
from hickoryloom.config.records import read_record
from hickoryloom.config.settings import Settings

__all__ = ["SECRETS", "load_settings", "read_settings_file"]

SECRETS = ("backend_credential", "peer_secret")
ENVIRONMENT_PREFIX = "HICKORYLOOM_"
MAX_SECRET_BYTES = 4096


def load_settings(path: str | Path, environ: Mapping[str, str]) -> Settings:
    """Read and validate the settings of a process.

    A secret may be given in the settings file, in a file named by `<secret>_file` (relative to the
    settings file), or in the environment as `HICKORYLOOM_<SECRET>` or `HICKORYLOOM_<SECRET>_FILE`.
    The environment takes precedence.

    Args:
        path: The settings file.
        environ: The environment of the process.

    Raises:
        ConfigurationError: A setting is missing, malformed, unknown or out of range; the message
            lists all faults.
    """
    result = read_settings_file(path, environ)
    if isinstance(result, Err):
        raise faults_error(result.err_value)
    return result.ok_value


def read_settings_file(
    path: str | Path, environ: Mapping[str, str]
) -> Result[Settings, list[Fault]]:
    """Read and validate the settings of a process, or return all faults."""
    path = Path(path)
    loaded = read_json_file(path)
    if loaded.is_err():
        return Err([loaded.unwrap_err()])
    faults: list[Fault] = []
    value = loaded.unwrap()
    if isinstance(value, dict):
        value = _resolve_secrets(dict(value), path, environ, faults)
    settings = read_record(Settings, value, str(path), "", faults)
    return Err(faults) if faults else Ok(settings)


def _resolve_secrets(
    value: dict[str, Any], path: Path, environ: Mapping[str, str], faults: list[Fault]
) -> dict[str, Any]:
    for secret in SECRETS:
        _apply_secret_file(value, secret, path, faults)
        _apply_environment_variable(value, secret, environ, faults)
    return value


def _apply_secret_file(value: dict[str, Any], secret: str, path: Path, faults: list[Fault]) -> None:
    key = f"{secret}_file"
    if key not in value:
        return
    name = value.pop(key)
    if secret in value:
        allowed = f"either {secret} or {key}"
        faults.append(Fault(str(path), key, "both keys", allowed, "Remove one of them."))
    elif not isinstance(name, str) or not name:
        faults.append(
            Fault(str(path), key, format_value(name), "a path", "Set the path of a file.")
        )
    else:
        _read_secret(value, secret, path.parent / name, f"{path}: {key}", faults)


def _apply_environment_variable(
    value: dict[str, Any], secret: str, environ: Mapping[str, str], faults: list[Fault]
) -> None:
    variable = f"{ENVIRONMENT_PREFIX}{secret.upper()}"
    if variable in environ:
        value[secret] = environ[variable]
    elif f"{variable}_FILE" in environ:
        name = Path(environ[f"{variable}_FILE"])
        _read_secret(value, secret, name, f"environment: {variable}_FILE", faults)


def _read_secret(
    value: dict[str, Any], secret: str, name: Path, source: str, faults: list[Fault]
) -> None:
    try:
        raw = name.read_bytes()
    except OSError as error:
        found = f"{name}, {error.strerror}"
        faults.append(
            Fault(source, "", found, "a readable file", "Check the path and its permissions.")
        )
        return
    if not raw.strip() or len(raw) > MAX_SECRET_BYTES:
        allowed = f"1 to {MAX_SECRET_BYTES} bytes"
        faults.append(
            Fault(source, "", f"{len(raw)} bytes in {name}", allowed, "Correct the file.")
        )
        return
    value[secret] = raw.decode("utf-8", errors="replace").strip()
