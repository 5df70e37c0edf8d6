"""What a daemon of the replay knows when it chooses, and how it does."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from attrs import frozen

from cowslipstep.replay.late_loads._cases import LateLoadCase


@frozen
class Known:
    """What a daemon knows when it chooses.

    Parameters
    ----------
    daemon
        Number of the daemon.
    loads
        Requests at each group: its own, and those of others by reports.
    others
        Requests of others at each group by reports.
    age_s
        Age of what it knows of others, seconds.
    others_per_s
        Rate of the requests of others.
    case
        The case.
    """

    daemon: int
    loads: Sequence[int]
    others: Sequence[int]
    age_s: float
    others_per_s: float
    case: LateLoadCase


Decide = Callable[[Known, random.Random], int]


class Way:
    """Chooses groups, and learns of requests that end.

    Parameters
    ----------
    decide
        Returns the number of the chosen group.

    Attributes
    ----------
    messages
        Messages that were sent in addition to reports.
    """

    def __init__(self, decide: Decide) -> None:
        self.messages = 0
        self._decide = decide

    def choose(self, known: Known, rng: random.Random) -> int:
        """Return the number of the chosen group."""
        return self._decide(known, rng)

    def record_end(self, group: int, requests: int, rng: random.Random) -> None:
        """Record that a request has ended at a group; ``requests`` are left."""
