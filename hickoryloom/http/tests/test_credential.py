"""Only the exact bearer token is accepted, and an empty token disables authentication."""

from hypothesis import given
from hypothesis import strategies as st

from hickoryloom.http import bearer_headers, shows_token

tokens = st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=1, max_size=40)


@given(tokens, tokens)
def test_only_the_exact_token_is_accepted(token, other):
    header = bearer_headers(token)["Authorization"]
    assert shows_token(header, token)
    assert shows_token(header, other) is (token == other)
    assert not shows_token(None, token)
    assert not shows_token(token, token)


def test_an_empty_token_disables_authentication():
    assert bearer_headers("") == {}
    assert shows_token(None, "") and shows_token("Bearer x", "")
