"""Registry of running calls, which cancels those of withdrawn keys."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable

__all__ = ["OpenCalls"]

Cancel = Callable[[], None]


class OpenCalls:
    """Registers running calls by key hash.

    Args:
        is_valid: Returns whether the key with a given hash is valid. It is called at registration,
            so that a withdrawal between authentication and registration is not missed.
    """

    def __init__(self, is_valid: Callable[[str], bool] = lambda key_hash: True) -> None:
        self._is_valid = is_valid
        self._handles = itertools.count(1)
        self._calls: dict[str, dict[int, Cancel]] = {}
        self._hashes: dict[int, str] = {}

    def __len__(self) -> int:
        return len(self._hashes)

    def register(self, key_hash: str, cancel: Cancel) -> int:
        """Register a running call.

        Args:
            key_hash: Hash of its key; empty for a call without a key, which is never cancelled.
            cancel: Cancels the call. It is called at most once, from another greenlet, and must
                not block.

        Returns:
            A handle for `release`.
        """
        handle = next(self._handles)
        if key_hash and not self._is_valid(key_hash):
            cancel()
            return handle
        self._calls.setdefault(key_hash, {})[handle] = cancel
        self._hashes[handle] = key_hash
        return handle

    def release(self, handle: int) -> None:
        """Unregister a call that has ended; an unknown handle is ignored."""
        key_hash = self._hashes.pop(handle, None)
        if key_hash is None:
            return
        calls = self._calls[key_hash]
        del calls[handle]
        if not calls:
            del self._calls[key_hash]

    def withdraw(self, key_hashes: Iterable[str]) -> int:
        """Cancel all calls of these keys and return their number."""
        count = 0
        for key_hash in key_hashes:
            if key_hash:
                count += self._cancel(self._calls.pop(key_hash, {}))
        return count

    def withdraw_all(self) -> int:
        """Cancel all calls that have a key and return their number."""
        return self.withdraw(list(self._calls))

    def _cancel(self, calls: dict[int, Cancel]) -> int:
        for handle, cancel in calls.items():
            self._hashes.pop(handle, None)
            cancel()
        return len(calls)
