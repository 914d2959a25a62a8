"""Documents are read from all directories below a root and validated as a whole."""

import json
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hickoryloom.configuration import PoolKind, read_documents
from hickoryloom.configuration.documents import Customer, KeyRecord, Pool, RequestClass, Service
from hickoryloom.configuration.shards import decode_record, encode_record

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"

POOL = {"kind": "engine", "model": "m", "failure_domains": ["a"], "max_servers": 2}
CLASS = {"tier": 1, "first_token_ms": 500, "token_gap_ms": 50}
VALID = {
    "pools": {"p": POOL},
    "classes": {"c": CLASS},
    "customers": {"u": {"classes": ["c"]}},
    "keys": {"k": {"hash": "0" * 64, "customer": "u"}},
}


def write(directory, files):
    for name, value in files.items():
        path = directory / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(value if isinstance(value, str) else json.dumps(value))
    return directory


def read_faults(directory, files):
    found = read_documents(write(directory, files))
    return [str(fault) for fault in found.unwrap_err()]


def modify(section, name, **values):
    records = VALID.get(section, {})
    return {**VALID, section: {**records, name: {**records.get(name, {}), **values}}}


@pytest.mark.parametrize(
    ("user", "domains", "engines", "services"),
    [
        ("studio", ("huta-a", "huta-b", "sklad-c"), (6, 14), 3),
        ("franchise", ("palermo", "catania", "augusta"), (3, 8), 3),
    ],
)
def test_examples_are_valid_and_have_the_expected_sizes(user, domains, engines, services):
    documents = read_documents(EXAMPLES / user).unwrap()
    [engine] = [pool for pool in documents.pools.values() if pool.kind is PoolKind.ENGINE]
    [service] = [pool for pool in documents.pools.values() if pool.kind is PoolKind.SERVICE]
    assert engine.failure_domains == domains
    assert (engine.min_servers, engine.max_servers) == engines
    assert len(service.servers) == services
    assert {server.failure_domain for server in service.servers} == set(domains)
    assert len(documents.customers) == 10
    assert {request_class.tier for request_class in documents.classes.values()} == {1, 2, 3, 4}
    routes = [route for record in documents.services.values() for route in record.routes]
    assert all(route.idempotent for route in routes if route.method == "GET")
    assert not any(route.idempotent for route in routes if route.method == "POST")


def test_files_of_all_directories_are_merged(tmp_path):
    files = {
        "a/hickoryloom.json": {"pools": VALID["pools"]},
        "b/deep/below/x.hickoryloom.json": {"classes": VALID["classes"], "keys": VALID["keys"]},
        "customers.hickoryloom.json": {"customers": VALID["customers"]},
        "b/package.json": "not ours",
        ".git/hickoryloom.json": "passed over",
    }
    documents = read_documents(write(tmp_path, files)).unwrap()
    assert documents.keys["0" * 64].customer == "u"


def test_directory_without_documents_is_a_fault(tmp_path):
    assert "no document" in read_faults(tmp_path, {"other.json": {}})[0]


def test_duplicate_name_reports_both_files(tmp_path):
    files = {"a/hickoryloom.json": VALID, "b/hickoryloom.json": {"pools": {"p": POOL}}}
    [fault] = read_faults(tmp_path, files)
    assert "a/hickoryloom.json" in fault and "b/hickoryloom.json" in fault and "pools.p" in fault


def test_duplicate_key_reports_both_labels(tmp_path):
    key = {"hash": "0" * 64, "customer": "u"}
    files = {"a/hickoryloom.json": VALID, "b/hickoryloom.json": {"keys": {"other": key}}}
    [fault] = read_faults(tmp_path, files)
    assert "keys.other" in fault and "the hash of k in" in fault and "a/hickoryloom.json" in fault


def test_references_to_an_invalid_record_are_not_reported(tmp_path):
    [fault] = read_faults(tmp_path, {"hickoryloom.json": modify("customers", "u", weight=-1)})
    assert "customers.u.weight: found -1; allowed: a number from 0.001 to 1000" in fault


def test_key_given_instead_of_its_hash_is_not_shown(tmp_path):
    key = "hlk_" + "a1" * 21 + "b"
    [fault] = read_faults(tmp_path, {"hickoryloom.json": modify("keys", "k", hash=key)})
    assert key not in fault and "47 characters (not shown)" in fault


@pytest.mark.parametrize(
    ("value", "part"),
    [
        (modify("pools", "p", slots=0), "pools.p.slots: found 0; allowed: a whole number from 1"),
        (modify("pools", "p", kind="other"), "allowed: one of engine, service"),
        (modify("pools", "p", model=""), "pools.p.model: found nothing"),
        (modify("pools", "p", min_servers=3), "pools.p.min_servers: found 3; allowed: at most"),
        (modify("pools", "p", failure_domains=[]), "pools.p.failure_domains: found nothing"),
        (modify("pools", "p", max_servers=0), "pools.p.servers: found no backend server"),
        (modify("pools", "p", failure_domains=["a", "a"]), '[1]: found "a" twice'),
        (modify("pools", "p", servers=[{"id": "s"}]), "pools.p.servers[0].address: found nothing"),
        (modify("pools", "p", servers=[{}, {"id": "s"}]), "pools.p.servers[1].failure_domain"),
        (modify("pools", "q", **POOL), "the model 'm' of pool p"),
        (modify("classes", "c", tier=5), "a whole number from 1 to 4"),
        (modify("classes", "c", reserve=0.6), "found a sum of 0.6; allowed: reserves that sum"),
        (modify("customers", "u", classes=["x"]), "found the unknown class 'x'; allowed: c"),
        (modify("customers", "u", classes=[]), "at least 1 of"),
        (modify("customers", "u", services=["x"]), "found the unknown service 'x'"),
        (modify("keys", "k", customer="x"), "found the unknown customer 'x'; allowed: u"),
        (modify("keys", "k", **{"class": "x"}), "found the class 'x'; allowed: the classes of u"),
        (modify("services", "s", pool="x"), "found the unknown pool 'x'"),
        (
            modify("services", "s", pool="p", routes=[{"method": "GET", "path": "x"}]),
            "a path with a leading slash",
        ),
        (
            modify("services", "s", pool="p", routes=[{"method": "GET", "path": "/"}] * 2),
            "routes[1]: found",
        ),
        (modify("pools", "P!", **POOL), "pools name: found"),
        ({**VALID, "pool": {}}, "pool: found an unknown section"),
        ({**VALID, "pools": []}, "pools: found []; allowed: an object of records by name"),
        ([], "found []; allowed: an object with sections"),
        ("{", "line 1, column 2"),
    ],
)
def test_each_fault_states_what_is_found_and_allowed(tmp_path, value, part):
    faults = read_faults(tmp_path, {"hickoryloom.json": value})
    assert any(part in fault for fault in faults), faults
    assert all("hickoryloom.json" in fault for fault in faults)


def test_sum_of_reserves_may_equal_the_limit(tmp_path):
    classes = {f"c{n}": {**CLASS, "reserve": 0.1} for n in range(5)}
    value = {**VALID, "classes": {**VALID["classes"], **classes}}
    assert read_documents(write(tmp_path, {"hickoryloom.json": value})).is_ok()


RECORDS = [
    ("pools", Pool("p", PoolKind.ENGINE, "m", slots=3, failure_domains=("a",), cheap=True)),
    ("services", Service("s", "p")),
    ("classes", RequestClass("c", 2, 100, 10, reserve=0.25, resumable=False)),
    ("customers", Customer("u", ("c",), weight=2.5, services=("s",))),
    ("keys", KeyRecord("f" * 64, "u", "label", "c", issued=True)),
]


@given(st.sampled_from(RECORDS))
def test_record_round_trips_and_ignores_fields_of_later_releases(found):
    section, record = found
    stored = {**json.loads(json.dumps(encode_record(record))), "of_a_later_release": 1}
    key = record.hash if section == "keys" else record.name
    assert decode_record(section, key, stored) == record
