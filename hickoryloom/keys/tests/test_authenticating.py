"""A call runs only for the customer whose key came with it."""

import base64

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hickoryloom.configuration import Customer, KeyRecord, Snapshot
from hickoryloom.http import Call
from hickoryloom.keys import (
    UnauthenticatedReason,
    anonymous,
    authenticate,
    hash_key,
    is_key,
    new_key,
)

KEYS = {name: new_key() for name in ("studio", "hotel", "archive")}
SNAPSHOT = Snapshot(
    3,
    customers={name: Customer(name, ("answer", "reply")) for name in KEYS},
    keys={
        hash_key(key): KeyRecord(hash_key(key), name, f"{name}-key", "reply")
        for name, key in KEYS.items()
    },
)


def call(*headers):
    return Call("POST", "/v1/chat/completions", "", tuple(headers), b"{}")


def basic(user, password):
    return "Basic " + base64.b64encode(f"{user}:{password}".encode()).decode()


@pytest.mark.parametrize("name", KEYS)
def test_each_usual_place_gives_the_keys_own_customer(name):
    key = KEYS[name]
    for header in (
        ("authorization", f"Bearer {key}"),
        ("authorization", f"bearer  {key} "),
        ("authorization", key),
        ("authorization", basic("anyone", key)),
        ("authorization", basic(key, "")),
        ("x-api-key", key),
        ("api-key", key),
    ):
        identity = authenticate(call(header), SNAPSHOT).unwrap()
        assert identity.customer.name == name
        assert identity.default_class == "reply"
        assert identity.key_hash == hash_key(key)
        assert key not in repr(identity)


def test_the_same_key_twice_is_one_key():
    key = KEYS["studio"]
    both = call(("authorization", f"Bearer {key}"), ("x-api-key", key))
    assert authenticate(both, SNAPSHOT).unwrap().customer.name == "studio"


@given(st.permutations(list(KEYS)), st.booleans())
def test_two_customers_keys_run_for_neither(names, repeat_header):
    first, second = KEYS[names[0]], KEYS[names[1]]
    name = "authorization" if repeat_header else "x-api-key"
    refused = authenticate(call(("authorization", f"Bearer {first}"), (name, second)), SNAPSHOT)
    assert refused.unwrap_err().reason is UnauthenticatedReason.AMBIGUOUS


@pytest.mark.parametrize(
    ("header", "reason"),
    [
        (("x-other", "1"), UnauthenticatedReason.MISSING),
        (("authorization", "Bearer "), UnauthenticatedReason.MISSING),
        (("authorization", "Bearer short"), UnauthenticatedReason.MALFORMED),
        (("authorization", "Basic !!!"), UnauthenticatedReason.MALFORMED),
        (("x-api-key", new_key()), UnauthenticatedReason.UNKNOWN),
        (("x-api-key", KEYS["hotel"].upper()), UnauthenticatedReason.MALFORMED),
    ],
)
def test_refusals_name_their_reason(header, reason):
    refused = authenticate(call(header), SNAPSHOT).unwrap_err()
    assert refused.reason is reason
    assert refused.status == 401


@given(st.text(alphabet="ABCdef0123456789_", min_size=16, max_size=60))
def test_a_refusal_repeats_nothing_of_what_was_shown(shown):
    for text in (shown, f"hlk_{shown}", new_key()):
        refused = authenticate(call(("authorization", f"Bearer {text}")), SNAPSHOT).unwrap_err()
        assert text not in repr(refused)


def test_an_encoded_body_is_refused_since_it_cannot_be_searched():
    headers = (("x-api-key", KEYS["hotel"]), ("content-encoding", "gzip"))
    refused = authenticate(call(*headers), SNAPSHOT).unwrap_err()
    assert refused.status == 415


def test_a_key_of_a_customer_that_is_gone_is_not_in_force():
    keys = SNAPSHOT.keys
    refused = authenticate(call(("x-api-key", KEYS["hotel"])), Snapshot(4, keys=keys))
    assert refused.unwrap_err().reason is UnauthenticatedReason.UNKNOWN


def test_new_keys_have_the_form_and_differ():
    made = {new_key() for _ in range(100)}
    assert len(made) == 100 and all(is_key(key) for key in made)


def test_anonymous_has_no_key():
    assert anonymous().is_anonymous
