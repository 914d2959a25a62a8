"""Decodes the settings file that the platform provides for each process."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import yaml

from hickoryloom.exceptions import ConfigurationError
from hickoryloom.gateway.settings import GatewaySettings
from hickoryloom.platform.fields import FieldError, get_dict, get_float, get_list, get_str

__all__ = ["read_settings", "settings_file"]

FILE_VARIABLE = "HICKORYLOOM_NODE_FILE"
MS_PER_S = 1000.0
BYTES_PER_MB = 1_000_000
CONTENTION_CONTRACT = "pressure"
"""In force where callers compete for too little room."""


def settings_file(environment: Mapping[str, str]) -> str:
    """Return the path of the settings file; empty if the environment variable is not set."""
    return environment.get(FILE_VARIABLE, "")


def read_settings(environment: Mapping[str, str]) -> GatewaySettings:
    """Read the settings of this process.

    Raises:
        ConfigurationError: The file is missing, or one of its fields is invalid.
    """
    path = settings_file(environment)
    if not path:
        raise ConfigurationError(f"environment variable {FILE_VARIABLE} is not set")
    try:
        document = yaml.safe_load(Path(path).read_text())
    except OSError as error:
        raise ConfigurationError(f"settings file {path!r}: {error.strerror}")
    # Values that the parser can't convert and deep nesting raise errors of other types.
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        raise ConfigurationError(f"settings file {path!r} is not YAML: {error}")
    try:
        return _parse_settings(document)
    except FieldError as error:
        raise ConfigurationError(f"settings file {path!r}: {error}")


def _parse_settings(document: Any) -> GatewaySettings:
    listen = get_dict(document, "listen")
    store = get_dict(document, "platform")
    duties = get_dict(document, "cloud_api")
    bounds = get_dict(document, "bounds")
    limits = get_dict(document, "limits")
    duty_names = get_list(duties, "duties")
    contracts = [name for name in get_list(document, "contracts") if isinstance(name, str)]
    return GatewaySettings(
        instance=get_str(document, "node_name"),
        failure_domain=get_str(document, "zone"),
        listen=get_str(listen, "frontend"),
        readiness=get_str(listen, "readiness"),
        operators=_operators_address(document),
        store=get_str(store, "address"),
        store_writes_per_s=get_float(store, "writes_per_s", 400.0),
        store_reads_per_s=get_float(store, "reads_per_s", 2000.0),
        duties=get_str(duties, "address", ""),
        reports_usage="usage_report" in duty_names,
        orders_servers="autoscale" in duty_names,
        apply_s=get_float(bounds, "config_apply_ms", 2000.0) / MS_PER_S,
        revoke_s=get_float(bounds, "revoke_ms", 5000.0) / MS_PER_S,
        # An instance counts as connected again this long after the end of a network partition.
        catch_up_s=get_float(bounds, "contact_ms", 3000.0) / MS_PER_S,
        leave_s=get_float(bounds, "drain_ms", 2000.0) / MS_PER_S,
        evacuation_s=get_float(bounds, "evacuation_ms", 0.0) / MS_PER_S,
        stop_s=get_float(bounds, "grace_period_s", 8.0),
        retry_ratio=get_float(bounds, "retry_budget_ratio", 0.1),
        retry_slack=get_float(bounds, "budget_slack", 20.0),
        retry_window_s=get_float(bounds, "retry_window_s", 10.0),
        lease_s=get_float(bounds, "lease_ms", 3000.0) / MS_PER_S,
        usage_window_s=get_float(bounds, "usage_window_s", 0.0),
        usage_late_s=get_float(bounds, "usage_late_s", 10.0),
        shares_room=CONTENTION_CONTRACT in contracts,
        bounds_memory=CONTENTION_CONTRACT in contracts,
        memory_bytes=int(get_float(limits, "memory_mb", 0.0) * BYTES_PER_MB),
        weighs_failure_domains=CONTENTION_CONTRACT in contracts,
        spreads_prompts=CONTENTION_CONTRACT in contracts,
        warm_up_overrun=get_float(bounds, "warmup_overrun", 1.0),
        warm_up_tolerance=get_float(bounds, "warmup_tolerance", 0.0),
    )


def _operators_address(document: Any) -> str:
    """Return the metrics address, on the first port of the range for internal use."""
    ports = get_list(document, "internal_port_range")
    return f"{get_str(document, 'ip')}:{ports[0]}" if ports else ""
