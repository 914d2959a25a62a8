import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from hickoryloom.catalog import RequestKind, hash_key
from hickoryloom.duties import DutyOutcome
from hickoryloom.http import JsonResponse
from hickoryloom.placing import ReportedLoad
from hickoryloom.platform.backends import PlatformBackends
from hickoryloom.platform.callers import PlatformCallers
from hickoryloom.platform.catalog import PlatformCatalog
from hickoryloom.platform.duties import PlatformScaling, PlatformUsage
from hickoryloom.platform.objects import PlatformObjects
from hickoryloom.platform.registrations import PlatformRegistrations
from hickoryloom.platform.tests.site import KEY, configuration
from hickoryloom.scaling import Group
from hickoryloom.store import ErrorKind

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(
        st.sampled_from(
            ["service", "address", "zone", "capacity", "state", "born", "metadata", "items", "at"]
        ),
        inner,
        max_size=6,
    ),
    max_leaves=12,
)
REGISTERED = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "capacity": 4,
    "state": "ready",
    "born": 5,
}


@given(JSON)
def test_no_malformed_registration_raises(value):
    PlatformRegistrations().read("id", value)


@pytest.mark.parametrize(
    "changed",
    [
        {"state": "thinking"},
        {"state": None},
        {"address": "nowhere"},
        {"address": "host:port"},
        {"capacity": "4"},
        {"capacity": True},
        {"service": 7},
        {"born": 1.5},
        {"sequence": [[7]]},
        {"version": "v\udcff"},
        {"service": "\ud800"},
        {"zone": json.loads("[" * 900 + "]" * 900)},
        {"address": "10.0.0.1:" + "8" * 5000},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:\u0663"},
        {"address": "\udcff:80"},
        {"address": "10.0.0.1:80\r\nx: y"},
    ],
)
def test_a_registration_with_an_invalid_field_is_ignored(changed):
    assert PlatformRegistrations().read("id", {**REGISTERED, **changed}) is None


@pytest.mark.parametrize("id", ["", " a", "a\r\nb", "a\0", "\udcff", "\u0159", "x\u2028"])
def test_a_registration_whose_id_no_request_can_name_is_ignored(id):
    """Guards against sound requests that are refused since their head can't be encoded."""
    assert PlatformRegistrations().read(id, REGISTERED) is None


def test_a_page_that_ends_with_an_unreadable_name_is_followed_by_the_next_one():
    """Guards against listings that end early, or never, where a name can't be read."""
    objects = PlatformObjects()
    raw = (
        b'{"items":[{"metadata":{"name":"a","revision":1},"spec":{}},'
        b'{"metadata":{"name":"b\xff/&","revision":2},"spec":{}}],"has_more":true,"at":5}'
    )
    response = JsonResponse(200, objects.decode(raw))
    page = objects.read_listing("servers/", response).ok_value
    assert [item.key for item in page.listing.items] == ["servers/a"]
    assert page.listing.unreadable == 1
    call = objects.list("servers/", page.next_token)
    assert call.path == "/objects/servers?after_revision=b%FF%2F%26"
    assert objects.list("servers/", "b\ud800").path.endswith("=b%ED%A0%80")


@pytest.mark.parametrize("last", [b'{"metadata":{"name":[],"revision":2}}', b"7", b'"\xff"'])
def test_a_page_whose_last_name_is_not_known_is_no_complete_listing(last):
    objects = PlatformObjects()
    raw = b'{"items":[{"metadata":{"name":"a","revision":1}},%s],"has_more":true,"at":5}' % last
    assert objects.read_listing("servers/", JsonResponse(200, objects.decode(raw))).is_err()


def test_changes_of_unreadable_objects_leave_the_others():
    objects = PlatformObjects()
    raw = (
        b'{"events":[{"object":{"metadata":{"name":"a","revision":1},"spec":{"v":"\xff"}}},'
        b'{"object":{"metadata":{"name":"\xff","revision":2},"spec":{}}},{"object":7},'
        b'{"object":{"metadata":{"name":"b","revision":3},"spec":{"v":1}}}],"at":3}'
    )
    batch = objects.read_batch("servers/", JsonResponse(200, objects.decode(raw))).ok_value
    found = [(change.key, change.value) for change in batch.changes]
    assert found == [("servers/a", None), ("servers/b", {"v": 1})]


def test_a_registration_is_decoded():
    server = PlatformRegistrations().read("id", {**REGISTERED, "spot_instances": True})
    assert (server.id, server.leaving, server.reclaimable, server.started_ms) == (
        "id",
        False,
        True,
        5,
    )
    assert PlatformRegistrations().read("id", {**REGISTERED, "state": "draining"}).leaving


def test_a_catalog_is_decoded_and_contains_no_plain_key():
    catalog = PlatformCatalog().read(configuration(version=3)).ok_value
    assert catalog.version == 3
    kinds = {route.name: route.kind for route in catalog.routes}
    assert kinds["once"] is RequestKind.ONCE
    assert kinds["draft"] is RequestKind.STREAM
    assert catalog.customers[hash_key(KEY)].name == "one"
    assert KEY not in repr(catalog)


@given(JSON)
def test_no_malformed_catalog_raises(value):
    PlatformCatalog().read(value)


def test_a_route_of_an_unknown_type_is_named():
    document = configuration()
    document["routes"][0]["type"] = "sometimes"
    result = PlatformCatalog().read(document)
    assert isinstance(result, Err)
    assert "'once'" in result.err_value and "'sometimes'" in result.err_value


@given(JSON, st.sampled_from([200, 404, 409, 410, 429, 503]))
def test_no_malformed_store_response_raises(body, status):
    codec = PlatformObjects()
    response = JsonResponse(status, body)
    checked = codec.check_status(response)
    if isinstance(checked, Ok):
        codec.read_object("kind/name", response)
        codec.read_listing("kind/", response)
        codec.read_version(response)
        codec.read_batch("kind/", response)


def test_expired_history_resets_the_watch():
    codec = PlatformObjects()
    response = codec.check_status(JsonResponse(410, {})).ok_value
    assert codec.read_batch("servers/", response).ok_value.reset


def test_a_conflict_contains_the_current_version():
    error = (
        PlatformObjects().check_status(JsonResponse(409, {"metadata": {"revision": 9}})).err_value
    )
    assert (error.kind, error.version) == (ErrorKind.CONFLICT, 9)


def test_names_are_quoted_in_paths():
    codec = PlatformObjects()
    assert codec.get("counts/a/b c").path == "/objects/counts/a%2Fb%20c"


@pytest.mark.parametrize("name", ["attempt-id", "deadline-ms", "x-api-key", "host"])
def test_a_repeated_header_is_rejected(name):
    headers = (("host", "h"), (name, "1"), (name, "2"))
    assert isinstance(PlatformCallers().read_request("GET", "/", headers, b""), Err)


def test_a_request_is_decoded():
    headers = (
        ("host", "h"),
        ("attempt-id", "a1"),
        ("deadline-ms", "2500"),
        ("token-count", "900,50"),
        ("prompt-prefix", "Aa:500,bb:300,cc:100"),
        ("x-api-key", KEY),
        ("tenant", "forged"),
        ("length-hint", "40"),
    )
    request = PlatformCallers().read_request("POST", "/x", headers, b"b").ok_value
    assert (request.id, request.caller_timeout_s, request.prompt_tokens) == ("a1", 2.5, 900)
    assert [part.id for part in request.prompt_segments] == ["aa", "bb", "cc"]
    assert request.key_hash == hash_key(KEY)
    names = {name for name, _ in request.headers}
    assert "length-hint" in names and "attempt-id" in names
    assert not names & {"tenant", "x-api-key", "deadline-ms"}


@pytest.mark.parametrize("value", ["-5", "soon", "1e3", ""])
def test_a_deadline_that_is_not_a_number_is_rejected(value):
    headers = (("host", "h"), ("deadline-ms", value))
    assert isinstance(PlatformCallers().read_request("GET", "/", headers, b""), Err)


def test_response_headers_are_decoded():
    codec = PlatformBackends()
    head = codec.read_head(503, (("not-executed", "1"), ("replica-load", "3,1,8")))
    assert head.not_run and not head.signed and head.load.waiting == 1
    assert head.turned_away and not codec.read_head(421, (("not-executed", "1"),)).turned_away
    assert codec.read_head(200, (("server-brittle", " 3 "),)).brittle == "3"
    assert codec.response_headers((("server-brittle", "3"), ("n", "1"))) == (("n", "1"),)
    assert codec.read_head(421, ()).misdirected
    assert codec.read_head(200, (("keep-alive", "timeout=5, max=9"),)).keep_alive_s == 5.0
    assert codec.read_head(200, (("replica-load", "many"),)).load is None


@pytest.mark.parametrize(
    ("value", "load"),
    [
        ("3,1,8", ReportedLoad(3, 1, 8)),
        ("3, 1, 8, 400", ReportedLoad(3, 1, 8, "400")),
        ("3,1,8,", ReportedLoad(3, 1, 8, "")),
        ("3,1,8,nan", ReportedLoad(3, 1, 8, "nan")),
        ("1000000000,1,8,100", None),
        ("3,-1,8,100", None),
        ("3,1", None),
        ("3,1,8,100,5", None),
        ("\u00b2,1,8", None),
        ("9" * 5_000 + ",1,8", None),
    ],
)
def test_both_forms_of_the_load_header_are_read(value, load):
    """Guards against a head that raises, and against dropping a report of four figures."""
    head = PlatformBackends().read_head(200, (("replica-load", value),))
    assert head.load == load
    assert head.load_unreadable == ("" if load else value)


def test_duty_calls_carry_a_fencing_token():
    call = PlatformScaling().order(Group("s", "z", True), 3, "me", 12)
    assert call.headers == {"Duty-Holder": "me", "Fencing-Token": "12"}
    assert json.loads(json.dumps(call.body))["desired_count"] == 3
    assert PlatformUsage().read(JsonResponse(409, {})) is DutyOutcome.FENCED
    assert PlatformScaling().read(JsonResponse(409, {})) is DutyOutcome.NO_CAPACITY
    assert PlatformScaling().read(JsonResponse(503, {})) is DutyOutcome.UNKNOWN


DIGITS = st.text(alphabet="0123456789", min_size=1, max_size=6_000)
NUMERIC = st.one_of(DIGITS, st.just("9" * 5_000), st.sampled_from(["²", "٣", "-1", "1e9", ""]))


@given(deadline=NUMERIC, tokens=NUMERIC, part=NUMERIC, last_event=NUMERIC)
def test_no_number_in_a_header_raises(deadline, tokens, part, last_event):
    headers = (
        ("host", "h"),
        ("deadline-ms", deadline),
        ("token-count", f"{tokens},{tokens}"),
        ("prompt-prefix", f"ab:{part}"),
        ("last-event-id", last_event),
    )
    request = PlatformCallers().read_request("POST", "/x", headers, b"")
    if request.is_ok():
        assert request.ok_value.caller_timeout_s >= 0
        assert all(segment.tokens >= 0 for segment in request.ok_value.prompt_segments)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        *(
            (field, value)
            for field in ("autoscaling", "inference_engine")
            for value in ([1], "x", 7)
        ),
        ("autoscaling", {"min_replicas": 10**400}),
        ("inference_engine", {"capacity": 10**400}),
    ],
)
def test_a_service_with_malformed_fields_is_an_error(field, value):
    document = configuration(version=3)
    document["services"][0][field] = value
    assert isinstance(PlatformCatalog().read(document), Err)


@pytest.mark.parametrize("value", [10**400, -(10**400), 1e400])
def test_a_number_out_of_range_is_an_error(value):
    document = configuration(version=3)
    document["routes"][0]["timeout_ms"] = value
    assert isinstance(PlatformCatalog().read(document), Err)


def test_warm_ups_are_decoded_and_not_forwarded():
    read = PlatformRegistrations().read
    assert read("id", {**REGISTERED, "warmup_left_ms": 2500}).warm_up_s == 2.5
    assert read("id", {**REGISTERED, "warmup_left_ms": -1}).warm_up_s == 0.0
    assert not read("id", REGISTERED).warming_up
    service = {"name": "s", "warmup_s": 4, "warmup_per_s": 9.8}
    catalog = PlatformCatalog().read(configuration(services=[service, {"name": "t"}])).unwrap()
    assert catalog.services["s"].warm_up_s == 4.0
    assert catalog.services["s"].warm_up_per_s == 9.8
    assert catalog.services["t"].warm_up_per_s == 0.0
    headers = (("warmup-ms", " 1200 "), ("x-other", "1"))
    assert PlatformBackends().read_head(200, headers).warm_up_ms == "1200"
    assert PlatformBackends().response_headers(headers) == (("x-other", "1"),)
