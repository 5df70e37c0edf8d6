"""Records of requests that ended without a complete response."""

from __future__ import annotations

import collections

from attrs import frozen

_MAX_RECORDS = 200


@frozen
class RequestRecord:
    """One request that was refused or whose outcome is uncertain.

    Parameters
    ----------
    request_id
        Id in the response's ``X-Request-Id`` header and in log lines.
    workspace
        Workspace of the caller; empty if its key is unknown.
    rank
        Rank of the request; empty for a call to a plain service.
    verdict
        ``not_run`` or ``may_have_run``.
    reason
        Why it ended so, one of the values of ``Reason``.
    at_unix_s
        Wall clock, seconds since 1970; only for display.
    """

    request_id: str
    workspace: str
    rank: str
    verdict: str
    reason: str
    at_unix_s: float


class RequestLog:
    """The most recent refused or uncertain requests of a daemon.

    Examples
    --------
    >>> log = RequestLog()
    >>> log.add(RequestRecord('r1', 'firm', '', 'not_run', 'limit', 0))
    >>> log.records[0].request_id
    'r1'
    """

    def __init__(self) -> None:
        self._records: collections.deque[RequestRecord] = collections.deque(
            maxlen=_MAX_RECORDS,
        )

    @property
    def records(self) -> tuple[RequestRecord, ...]:
        """Records in order of time."""
        return tuple(self._records)

    def add(self, record: RequestRecord) -> None:
        """Add a record; the oldest one is dropped if there are too many."""
        self._records.append(record)

    def clear(self) -> None:
        """Remove all records."""
        self._records.clear()
