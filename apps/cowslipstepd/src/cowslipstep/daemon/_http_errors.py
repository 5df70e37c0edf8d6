"""Errors of the HTTP client as failures of upstreams."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from http.client import HTTPException, IncompleteRead

import urllib3

from cowslipstep.daemon._bounded_reader import EndedEarly
from cowslipstep.daemon._upstream_failures import (
    ConnectionEnded,
    UpstreamFailure,
)
from cowslipstep.model import MayHaveRun, Reason


@contextlib.contextmanager
def as_upstream_failure() -> Iterator[None]:
    """Convert errors of the HTTP client.

    Raises
    ------
    ConnectionEnded
        If the upstream has ended the connection.
    UpstreamFailure
        If it sent no valid response, or not in time.
    """
    try:
        yield
    except (urllib3.exceptions.HTTPError, OSError) as error:
        failure = ConnectionEnded if _has_ended(error) else UpstreamFailure
        raise failure(
            MayHaveRun(_failure_reason(error)),
            repr(error),
        ) from error
    except (HTTPException, ValueError, AttributeError) as error:
        # http.client raises these errors on bytes that are no HTTP response.
        raise UpstreamFailure(
            MayHaveRun(Reason.upstream_cut),
            repr(error),
        ) from error


def _has_ended(error: BaseException | None) -> bool:
    """Return whether the upstream ended the connection."""
    match error:
        case None:
            return False
        case ConnectionError() | EndedEarly() | IncompleteRead():
            return True
        case _:
            # The library raises errors of its own from those of the socket.
            return _has_ended(error.__cause__)


def _failure_reason(error: Exception) -> Reason:
    match error:
        case TimeoutError() | urllib3.exceptions.TimeoutError():
            return Reason.upstream_timeout
        case _:
            return Reason.upstream_cut
