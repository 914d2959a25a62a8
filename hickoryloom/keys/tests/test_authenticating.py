"""Authentication binds a call only to the customer whose key it presents."""

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
def test_each_supported_header_identifies_the_customer_of_the_key(name):
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


def test_the_same_key_in_two_headers_is_accepted():
    key = KEYS["studio"]
    both = call(("authorization", f"Bearer {key}"), ("x-api-key", key))
    assert authenticate(both, SNAPSHOT).unwrap().customer.name == "studio"


@given(st.permutations(list(KEYS)), st.booleans())
def test_keys_of_two_customers_are_rejected_as_ambiguous(names, repeat_header):
    first, second = KEYS[names[0]], KEYS[names[1]]
    name = "authorization" if repeat_header else "x-api-key"
    rejected = authenticate(call(("authorization", f"Bearer {first}"), (name, second)), SNAPSHOT)
    assert rejected.unwrap_err().reason is UnauthenticatedReason.AMBIGUOUS


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
def test_rejections_have_a_specific_reason(header, reason):
    rejected = authenticate(call(header), SNAPSHOT).unwrap_err()
    assert rejected.reason is reason
    assert rejected.status == 401


@given(st.text(alphabet="ABCdef0123456789_", min_size=16, max_size=60))
def test_a_rejection_does_not_contain_the_presented_credential(credential):
    for text in (credential, f"hlk_{credential}", new_key()):
        rejected = authenticate(call(("authorization", f"Bearer {text}")), SNAPSHOT).unwrap_err()
        assert text not in repr(rejected)


def test_an_encoded_body_is_rejected_since_it_cannot_be_searched_for_keys():
    headers = (("x-api-key", KEYS["hotel"]), ("content-encoding", "gzip"))
    rejected = authenticate(call(*headers), SNAPSHOT).unwrap_err()
    assert rejected.status == 415


def test_a_key_of_a_removed_customer_is_unknown():
    keys = SNAPSHOT.keys
    rejected = authenticate(call(("x-api-key", KEYS["hotel"])), Snapshot(4, keys=keys))
    assert rejected.unwrap_err().reason is UnauthenticatedReason.UNKNOWN


def test_new_keys_are_well_formed_and_unique():
    generated = {new_key() for _ in range(100)}
    assert len(generated) == 100 and all(is_key(key) for key in generated)


def test_the_anonymous_identity_has_no_key():
    assert anonymous().is_anonymous
