"""Signs requests that are handed over, so that nobody but an instance can hand one over.

Each process publishes a random token in the store, which only instances can read. Whoever hands a
request over to the process signs the call with that token.
"""

from __future__ import annotations

import hashlib
import hmac
import json
import secrets

from hickoryloom.handover.messages import ReceivedCall

__all__ = ["new_token", "sign_call", "verify_call"]

TOKEN_BYTES = 16


def new_token() -> str:
    """Return a random token for a process."""
    return secrets.token_urlsafe(TOKEN_BYTES)


def sign_call(token: str, address: str, hand_over: str, call: ReceivedCall) -> str:
    """Return the signature of a call.

    Args:
        token: Token of the receiving process.
        address: Its address.
        hand_over: Value of the header that accompanies the request.
        call: The caller's request.
    """
    headers = call.forwarded_headers
    signed = json.dumps([address, hand_over, call.method, call.target, call.host, headers])
    digest = hashlib.sha256(signed.encode() + b"\n" + call.body).digest()
    return hmac.digest(token.encode(), digest, "sha256").hex()


def verify_call(
    signature: str, token: str, address: str, hand_over: str, call: ReceivedCall
) -> bool:
    """Return whether a call is signed with the token of this process."""
    expected = sign_call(token, address, hand_over, call)
    return hmac.compare_digest(signature.encode("utf-8", "replace"), expected.encode())
