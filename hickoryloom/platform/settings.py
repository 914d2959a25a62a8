"""Decodes the settings file that the platform gives each process."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import yaml

from hickoryloom.exceptions import ConfigurationError
from hickoryloom.gateway.settings import GatewaySettings
from hickoryloom.platform.fields import FieldError, number, records, table, text

__all__ = ["read_settings", "settings_file"]

FILE_VARIABLE = "HICKORYLOOM_NODE_FILE"
MS_PER_S = 1000.0


def settings_file(environment: Mapping[str, str]) -> str:
    """Return the path of the settings file; empty when the environment names none."""
    return environment.get(FILE_VARIABLE, "")


def read_settings(environment: Mapping[str, str]) -> GatewaySettings:
    """Read the settings of this process.

    Raises:
        ConfigurationError: The file is missing, or a field of it can't be used.
    """
    path = settings_file(environment)
    if not path:
        raise ConfigurationError(f"environment variable {FILE_VARIABLE} is not set")
    try:
        found = yaml.safe_load(Path(path).read_text())
    except OSError as error:
        raise ConfigurationError(f"settings file {path!r}: {error.strerror}")
    except yaml.YAMLError as error:
        raise ConfigurationError(f"settings file {path!r} is not YAML: {error}")
    try:
        return _read(found)
    except FieldError as error:
        raise ConfigurationError(f"settings file {path!r}: {error}")


def _read(found: Any) -> GatewaySettings:
    listen = table(found, "listen")
    store = table(found, "platform")
    duties = table(found, "cloud_api")
    bounds = table(found, "bounds")
    names = records(duties, "duties")
    return GatewaySettings(
        instance=text(found, "node_name"),
        failure_domain=text(found, "zone"),
        listen=text(listen, "frontend"),
        readiness=text(listen, "readiness"),
        operators=_operators_address(found),
        store=text(store, "address"),
        store_writes_per_s=number(store, "writes_per_s", 400.0),
        store_reads_per_s=number(store, "reads_per_s", 2000.0),
        duties=text(duties, "address", ""),
        reports_usage="usage_report" in names,
        orders_servers="autoscale" in names,
        apply_s=number(bounds, "config_apply_ms", 2000.0) / MS_PER_S,
        revoke_s=number(bounds, "revoke_ms", 5000.0) / MS_PER_S,
        # A machine counts as in touch again so long after a cut has ended.
        catch_up_s=number(bounds, "contact_ms", 3000.0) / MS_PER_S,
        stop_s=number(bounds, "grace_period_s", 8.0),
        retry_ratio=number(bounds, "retry_budget_ratio", 0.1),
        retry_slack=number(bounds, "budget_slack", 20.0),
        retry_window_s=number(bounds, "retry_window_s", 10.0),
        lease_s=number(bounds, "lease_ms", 3000.0) / MS_PER_S,
        usage_window_s=number(bounds, "usage_window_s", 0.0),
    )


def _operators_address(found: Any) -> str:
    """Metrics are served on the first of the ports that are free for the system's own use."""
    ports = records(found, "internal_port_range")
    return f"{text(found, 'ip')}:{ports[0]}" if ports else ""
