"""Workspace, rank and timeout from the headers of callers' requests."""

from __future__ import annotations

import hashlib

from cowslipstep.daemon._http import Environ
from cowslipstep.daemon._request_bodies import bad_request
from cowslipstep.model import (
    Configuration,
    NotRun,
    Reason,
    RequestError,
    Workspace,
)

_DEFAULT_TIMEOUT_S = 30.0
_MAX_TIMEOUT_S = 86400
_BAD_REQUEST = 400
_UNAUTHORIZED = 401


def find_workspace(
    environ: Environ,
    configuration: Configuration,
) -> Workspace:
    """Return the workspace to which the caller's bearer key belongs.

    Raises
    ------
    RequestError
        If the key is missing or unknown.
    """
    scheme, _, key = environ.get('HTTP_AUTHORIZATION', '').partition(' ')
    if scheme.lower() == 'bearer':
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        for workspace in configuration.workspaces:
            if digest in workspace.key_sha256:
                return workspace
    raise RequestError(
        NotRun(Reason.unauthorized),
        'missing or unknown bearer key',
        _UNAUTHORIZED,
    )


def find_rank(environ: Environ, configuration: Configuration) -> str:
    """Return the rank of the ``X-Rank`` header; the middle one by default.

    Raises
    ------
    RequestError
        If no rank has that name.
    """
    ranks = [rank.name for rank in configuration.ranks]
    rank = environ.get('HTTP_X_RANK', ranks[len(ranks) // 2])
    if rank not in ranks:
        known = ', '.join(ranks)
        raise RequestError(
            NotRun(Reason.unknown_rank),
            f'unknown rank {rank!r}; expected one of: {known}',
            _BAD_REQUEST,
        )
    return rank


def find_timeout_s(environ: Environ) -> float:
    """Return the timeout of the ``X-Timeout-S`` header, seconds.

    Raises
    ------
    RequestError
        If it is not a positive number or above the limit.
    """
    text = environ.get('HTTP_X_TIMEOUT_S')
    if text is None:
        return _DEFAULT_TIMEOUT_S
    try:
        timeout_s = float(text)
    except ValueError:
        raise bad_request('X-Timeout-S must be a number of seconds') from None
    if not 0 < timeout_s <= _MAX_TIMEOUT_S:
        raise bad_request(
            f'X-Timeout-S must be above 0 and at most {_MAX_TIMEOUT_S}'
        )
    return timeout_s
