"""Verdicts: whether a request may have run on an upstream."""

from __future__ import annotations

import enum

from attrs import frozen


class Reason(enum.StrEnum):
    """Why a request ended without a complete response.

    The values appear as ``code`` in error responses and in log lines.
    """

    bad_request = 'bad_request'
    unauthorized = 'unauthorized'
    unknown_model = 'unknown_model'
    unknown_rank = 'unknown_rank'
    unknown_service = 'unknown_service'
    not_found = 'not_found'
    body_too_large = 'body_too_large'
    no_capacity = 'no_capacity'
    deadline = 'deadline'
    limit = 'limit'
    queue_full = 'queue_full'
    not_ready = 'not_ready'
    platform_down = 'platform_down'
    connect_failed = 'connect_failed'
    upstream_refused = 'upstream_refused'
    upstream_moved = 'upstream_moved'
    upstream_failed = 'upstream_failed'
    upstream_cut = 'upstream_cut'
    upstream_timeout = 'upstream_timeout'
    key_in_use = 'key_in_use'
    key_expired = 'key_expired'
    caller_gone = 'caller_gone'
    stopping = 'stopping'
    internal = 'internal'
    key_reused = 'key_reused'


@frozen
class Completed:
    """The upstream ran the request and its complete response was received.

    Examples
    --------
    >>> Completed().code
    'completed'
    """

    @property
    def code(self) -> str:
        """The name of the verdict in responses, logs and metrics."""
        return 'completed'


@frozen
class NotRun:
    """The request certainly did not run on any upstream.

    Parameters
    ----------
    reason
        Why it did not run.
    retry_after_s
        Suggested delay before the caller sends the request again, seconds;
        zero for none.

    Examples
    --------
    >>> NotRun(Reason.limit, retry_after_s=2).code
    'not_run'
    """

    reason: Reason
    retry_after_s: float = 0

    @property
    def code(self) -> str:
        """The name of the verdict in responses, logs and metrics."""
        return 'not_run'


@frozen
class MayHaveRun:
    """The request may have run on an upstream, completely or in part.

    Examples
    --------
    >>> MayHaveRun(Reason.upstream_cut).code
    'may_have_run'
    """

    reason: Reason

    @property
    def code(self) -> str:
        """The name of the verdict in responses, logs and metrics."""
        return 'may_have_run'


Verdict = Completed | NotRun | MayHaveRun
