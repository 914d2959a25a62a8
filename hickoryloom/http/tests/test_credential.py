"""Only the exact bearer token is accepted, and an empty token disables authentication."""

from hypothesis import given
from hypothesis import strategies as st

from hickoryloom.http import bearer_headers, has_bearer_token

tokens = st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=1, max_size=40)


@given(tokens, tokens)
def test_only_the_exact_token_is_accepted(token, other):
    header = bearer_headers(token)["Authorization"]
    assert has_bearer_token(header, token)
    assert has_bearer_token(header, other) is (token == other)
    assert not has_bearer_token(None, token)
    assert not has_bearer_token(token, token)


def test_an_empty_token_disables_authentication():
    assert bearer_headers("") == {}
    assert has_bearer_token(None, "") and has_bearer_token("Bearer x", "")
