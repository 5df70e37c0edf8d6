"""Calls to upstreams over HTTP, with the verdict of each failure."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import urllib3
from attrs import field, frozen

from cowslipstep.model import Address, MayHaveRun, NotRun, Reason

_CONNECT_TIMEOUT_S = 1
_READ_CHUNK_BYTES = 65536
_SERVICE_UNAVAILABLE = 503
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


@frozen
class UpstreamCall:
    """One call to an upstream."""

    address: Address
    method: str
    path: str
    body: bytes
    headers: dict[str, str] = field(factory=dict)
    read_timeout_s: float = 30


class UpstreamPool:
    """Keeps connections to upstreams."""

    def __init__(self) -> None:
        self._http = urllib3.PoolManager(
            num_pools=1024,
            maxsize=64,
            retries=False,
        )

    @contextlib.contextmanager
    def open(self, call: UpstreamCall) -> Iterator[urllib3.BaseHTTPResponse]:
        """Send a call and yield its answer, whose body is not read yet.

        The connection is closed unless the body was read to its end.

        Raises
        ------
        UpstreamFailure
            If there is no answer, or the upstream refused.
        """
        answer = self._send(call)
        try:
            _raise_for_status(answer.status, call.address)
            yield answer
        finally:
            answer.close()
            answer.release_conn()

    def _send(self, call: UpstreamCall) -> urllib3.BaseHTTPResponse:
        timeout = urllib3.Timeout(
            connect=_CONNECT_TIMEOUT_S,
            read=call.read_timeout_s,
        )
        try:
            return self._http.request(
                call.method,
                f'http://{call.address}{call.path}',
                body=call.body,
                headers=call.headers,
                timeout=timeout,
                preload_content=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as refused:
            raise UpstreamFailure(
                NotRun(Reason.connect_failed, retry_after_s=1),
                str(refused),
            ) from refused
        except urllib3.exceptions.HTTPError as error:
            raise UpstreamFailure(_verdict(error), str(error)) from error


def read_pieces(answer: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield pieces of a body as they arrive.

    Raises
    ------
    UpstreamFailure
        If the connection breaks or falls silent.
    """
    while True:
        try:
            piece = answer.read1(_READ_CHUNK_BYTES)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise UpstreamFailure(_verdict(error), str(error)) from error
        if not piece:
            return
        yield piece


def _raise_for_status(status: int, address: Address) -> None:
    if status == _SERVICE_UNAVAILABLE:
        raise UpstreamFailure(
            NotRun(Reason.upstream_refused, retry_after_s=1),
            f'{address} refused the request',
        )
    if status >= _SERVER_ERROR:
        raise UpstreamFailure(
            MayHaveRun(Reason.upstream_failed),
            f'{address} failed with status {status}',
        )


def _verdict(error: Exception) -> MayHaveRun:
    match error:
        case urllib3.exceptions.TimeoutError():
            return MayHaveRun(Reason.upstream_timeout)
        case _:
            return MayHaveRun(Reason.upstream_cut)
