"""Index object of a daemon: how it is, and which statuses it wrote."""

from __future__ import annotations

import json

from attrs import frozen

from cowslipstep.metrics._status import DaemonIdentity
from cowslipstep.settings import parse_json, structure, unstructure

_FRESH_PERIODS = 3
_FRESH_MARGIN_S = 10


@frozen
class StatusIndex:
    """A small summary of a daemon beside its large status objects.

    Parameters
    ----------
    daemon
        Whose it is.
    written_at_unix_s
        Wall clock of the last write, seconds since 1970.
    period_s
        Time to the next write, seconds.
    stopping
        Whether a planned stop has begun.
    objects
        Names of the status objects that are not yet deleted, also of
        former daemons of that name.
    """

    daemon: DaemonIdentity
    written_at_unix_s: float
    period_s: float
    stopping: bool = False
    statuses: tuple[str, ...] = ()

    def is_live(self, now_unix_s: float) -> bool:
        """Whether the daemon still writes.

        Examples
        --------
        >>> daemon = DaemonIdentity('d0', 1, 'ebene', '127.0.0.1:80')
        >>> index = StatusIndex(daemon, written_at_unix_s=0, period_s=60)
        >>> index.is_live(100), index.is_live(200)
        (True, False)
        """
        longest_s = self.period_s * _FRESH_PERIODS + _FRESH_MARGIN_S
        age_s = now_unix_s - self.written_at_unix_s
        return age_s < longest_s and not self.stopping


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
