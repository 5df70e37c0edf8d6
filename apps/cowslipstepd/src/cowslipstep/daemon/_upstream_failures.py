"""Failures of upstreams, and the verdict that their status implies."""

from __future__ import annotations

import json

import urllib3

from cowslipstep.model import Address, MayHaveRun, NotRun, Reason

_SERVICE_UNAVAILABLE = 503
_MAX_REFUSAL_BYTES = 4096
# Errors of reading and decoding the body of a refusal.
_READ_ERRORS = (
    urllib3.exceptions.HTTPError,
    OSError,
    ValueError,
    RecursionError,
)
_SERVER_ERROR = 500


class UpstreamFailure(Exception):
    """An attempt brought no complete response of an upstream.

    Subclasses stand for attempts that were not sent at all.
    """

    def __init__(self, verdict: NotRun | MayHaveRun, message: str) -> None:
        super().__init__(message)
        self._verdict = verdict

    @property
    def verdict(self) -> NotRun | MayHaveRun:
        """Verdict that states whether the request may have run."""
        return self._verdict


class ConnectionEnded(UpstreamFailure):
    """The upstream closed or reset the connection within the response.

    It may have ended itself. Bytes that are no response, or a response that
    does not end in time, are no such failure.
    """


class NotSent(UpstreamFailure):
    """The request was not written, for a reason apart from the upstream."""


class TurnedAway(UpstreamFailure):
    """The upstream turned the request away and named a time.

    Parameters
    ----------
    verdict
        Verdict that states whether the request may have run.
    message
        What was received.
    retry_after
        ``Retry-After`` header of the response.
    """

    def __init__(
        self, verdict: NotRun | MayHaveRun, message: str, retry_after: str
    ) -> None:
        super().__init__(verdict, message)
        self._retry_after = retry_after

    @property
    def retry_after(self) -> str:
        """``Retry-After`` header of the response."""
        return self._retry_after


def raise_for_status(
    response: urllib3.BaseHTTPResponse,
    address: Address,
) -> None:
    """Check the status of a response.

    Raises
    ------
    UpstreamFailure
        If the status is 500 or above; ``TurnedAway`` if it is 503 with a time.
    """
    if response.status < _SERVER_ERROR:
        return
    if response.status == _SERVICE_UNAVAILABLE:
        raise _refused(response, address)
    raise UpstreamFailure(
        MayHaveRun(Reason.upstream_failed),
        f'{address} failed with status {response.status}',
    )


def _refused(
    response: urllib3.BaseHTTPResponse, address: Address
) -> UpstreamFailure:
    verdict: NotRun | MayHaveRun = MayHaveRun(Reason.upstream_failed)
    if _states_not_run(response):
        verdict = NotRun(Reason.upstream_refused, retry_after_s=1)
    message = f'{address} responded that it is unavailable'
    retry_after = response.headers.get('Retry-After', '')
    if retry_after:
        return TurnedAway(verdict, message, retry_after)
    return UpstreamFailure(verdict, message)


def _states_not_run(response: urllib3.BaseHTTPResponse) -> bool:
    """Return whether a 503 response states that the request did not run.

    The status alone does not say so: a server may also send it after work on
    the request has failed.
    """
    try:
        document = json.loads(response.read(_MAX_REFUSAL_BYTES))
    except _READ_ERRORS:
        return False
    return isinstance(document, dict) and document.get('ran') is False
