"""Digests of workspaces' bearer keys; configurations hold no keys."""

from __future__ import annotations

import hashlib


def hash_key(key: str) -> str:
    """Return the SHA-256 digest of a bearer key, as configurations hold it.

    Examples
    --------
    >>> len(hash_key('secret'))
    64
    """
    return hashlib.sha256(key.encode()).hexdigest()
