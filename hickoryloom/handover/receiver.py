"""Reads requests that other instances hand over to this one."""

from __future__ import annotations

from typing import Any

from result import Err, Result

from hickoryloom.handover.messages import (
    HAND_OVER_HEADER,
    SIGNATURE_HEADER,
    HandOver,
    ReceivedCall,
    decode_hand_over,
)
from hickoryloom.handover.signing import verify_call
from hickoryloom.http import RAW_HEADERS_KEY, RAW_TARGET_KEY

__all__ = ["HandOverReceiver", "is_handed_over", "read_call", "read_unsigned"]

ENVIRON_KEY = "HTTP_" + HAND_OVER_HEADER.upper().replace("-", "_")


class HandOverReceiver:
    """Checks that requests which are handed over come from another instance.

    Args:
        address: `host:port` at which this process serves other instances.
        token: Secret of this process, which the other instances read from the store.
    """

    def __init__(self, address: str, token: str) -> None:
        self._address = address
        self._token = token

    def read(self, call: ReceivedCall) -> Result[HandOver, str]:
        """Return what the sender says of a call; return an error message if it is not signed."""
        headers = dict(call.headers)
        value = headers.get(HAND_OVER_HEADER, "")
        signature = headers.get(SIGNATURE_HEADER, "")
        if not self._token or not verify_call(signature, self._token, self._address, value, call):
            return Err("signature does not match")
        return decode_hand_over(value)


def is_handed_over(environ: dict[str, Any]) -> bool:
    """Return whether a request claims to be handed over by another instance."""
    return ENVIRON_KEY in environ


def read_unsigned(environ: dict[str, Any]) -> HandOver | None:
    """Return what the sender says of a call whose body was not read; None if it is invalid."""
    return decode_hand_over(environ.get(ENVIRON_KEY, "")).ok()


def read_call(environ: dict[str, Any], body: bytes) -> ReceivedCall:
    """Return a request as it was received."""
    headers = environ[RAW_HEADERS_KEY]
    return ReceivedCall(
        method=environ["REQUEST_METHOD"],
        target=environ[RAW_TARGET_KEY],
        host=next((value for name, value in headers if name == "host"), ""),
        headers=headers,
        body=body,
    )
