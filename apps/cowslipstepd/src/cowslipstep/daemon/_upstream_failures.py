"""Failures of upstreams, and what their status says of a request."""

from __future__ import annotations

import json

import urllib3

from cowslipstep.model import Address, MayHaveRun, NotRun, Reason

_SERVICE_UNAVAILABLE = 503
_MAX_REFUSAL_BYTES = 4096
_SERVER_ERROR = 500


class UpstreamFailure(Exception):
    """An upstream gave no complete answer."""

    def __init__(self, verdict: NotRun | MayHaveRun, message: str) -> None:
        super().__init__(message)
        self._verdict = verdict

    @property
    def verdict(self) -> NotRun | MayHaveRun:
        """Whether the request may have run."""
        return self._verdict


def raise_for_status(
    answer: urllib3.BaseHTTPResponse,
    address: Address,
) -> None:
    """Check the status of an answer.

    Raises
    ------
    UpstreamFailure
        If it is 500 or above.
    """
    if answer.status < _SERVER_ERROR:
        return
    if answer.status == _SERVICE_UNAVAILABLE and _says_not_run(answer):
        raise UpstreamFailure(
            NotRun(Reason.upstream_refused, retry_after_s=1),
            f'{address} refused the request',
        )
    raise UpstreamFailure(
        MayHaveRun(Reason.upstream_failed),
        f'{address} failed with status {answer.status}',
    )


def _says_not_run(answer: urllib3.BaseHTTPResponse) -> bool:
    """Say whether a refusal states that the request did not run.

    The status alone does not: a server may answer 503 after its work failed.
    """
    try:
        document = json.loads(answer.read(_MAX_REFUSAL_BYTES))
    except (urllib3.exceptions.HTTPError, OSError, ValueError):
        return False
    return isinstance(document, dict) and document.get('ran') is False
