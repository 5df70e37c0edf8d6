"""Bearer keys of workspaces; only their digests are configured."""

from __future__ import annotations

import hashlib


def hash_key(key: str) -> str:
    """Return the digest of a bearer key as it stands in the configuration.

    Examples
    --------
    >>> len(hash_key('secret'))
    64
    """
    return hashlib.sha256(key.encode()).hexdigest()
