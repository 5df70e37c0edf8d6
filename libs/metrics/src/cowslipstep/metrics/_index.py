"""Index object of a daemon: when it last wrote, and its status objects."""

from __future__ import annotations

import json

from attrs import frozen

from cowslipstep.metrics._status import DaemonIdentity
from cowslipstep.settings import parse_json, structure, unstructure

_MAX_AGE_PERIODS = 3
_MAX_AGE_MARGIN_S = 10


@frozen
class StatusIndex:
    """A small summary of a daemon, so that its statuses need not be listed.

    Parameters
    ----------
    daemon
        The daemon that wrote it.
    written_at_unix_s
        Wall clock of the last write, seconds since 1970.
    period_s
        Time to the next write, seconds.
    stopping
        Whether a planned stop has begun.
    statuses
        Names of the status objects that are not yet deleted, including
        those of former runs of a daemon of that name.
    """

    daemon: DaemonIdentity
    written_at_unix_s: float
    period_s: float
    stopping: bool = False
    statuses: tuple[str, ...] = ()

    def is_live(self, now_unix_s: float) -> bool:
        """Whether the daemon wrote recently and no planned stop has begun.

        A daemon that missed two writes still counts as live.

        Examples
        --------
        >>> daemon = DaemonIdentity('d0', 1, 'ebene', '127.0.0.1:80')
        >>> index = StatusIndex(daemon, written_at_unix_s=0, period_s=60)
        >>> index.is_live(100), index.is_live(200)
        (True, False)
        """
        max_age_s = self.period_s * _MAX_AGE_PERIODS + _MAX_AGE_MARGIN_S
        age_s = now_unix_s - self.written_at_unix_s
        return age_s < max_age_s and not self.stopping


def encode_index(index: StatusIndex) -> str:
    """Return the JSON text of an index object."""
    return json.dumps(unstructure(index), separators=(',', ':'))


def decode_index(text: str) -> StatusIndex:
    """Read an index object from JSON text.

    Raises
    ------
    ExceptionGroup
        Holds one ``DocumentError`` for each mistake.
    """
    return structure(parse_json(text), StatusIndex)
