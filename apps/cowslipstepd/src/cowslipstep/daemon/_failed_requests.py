"""Log lines and records of requests that were refused or may have run."""

from __future__ import annotations

import time

from loguru import logger

from cowslipstep.daemon._http import Environ
from cowslipstep.daemon._request_headers import find_rank, find_workspace
from cowslipstep.daemon._state import DaemonState
from cowslipstep.metrics import RequestRecord
from cowslipstep.model import Configuration, RequestError


def record_failed_request(
    state: DaemonState,
    environ: Environ,
    request_id: str,
    error: RequestError,
) -> None:
    """Log a failed request, and record it if its workspace is known.

    The error message may quote what the caller sent; it is neither logged nor
    recorded.
    """
    failed = _failure_record(state.configuration, environ, request_id, error)
    logger.bind(
        workspace=failed.workspace,
        rank=failed.rank,
        verdict=failed.verdict,
        reason=failed.reason,
    ).info('request failed')
    if failed.workspace:
        state.requests.add(failed)


def _failure_record(
    configuration: Configuration | None,
    environ: Environ,
    request_id: str,
    error: RequestError,
) -> RequestRecord:
    return RequestRecord(
        request_id,
        _workspace_name(environ, configuration),
        _rank_name(environ, configuration),
        error.verdict.code,
        error.verdict.reason.value,
        time.time(),
    )


def _workspace_name(
    environ: Environ,
    configuration: Configuration | None,
) -> str:
    if configuration is None:
        return ''
    try:
        return find_workspace(environ, configuration).name
    except RequestError:
        return ''


def _rank_name(environ: Environ, configuration: Configuration | None) -> str:
    if configuration is None:
        return ''
    try:
        return find_rank(environ, configuration)
    except RequestError:
        return ''
