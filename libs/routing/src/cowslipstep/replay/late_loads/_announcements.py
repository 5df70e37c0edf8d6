"""Groups that announce a free slot to a daemon (join-idle-queue)."""

from __future__ import annotations

import random
from collections import defaultdict, deque

from cowslipstep.replay.late_loads._cases import LateLoadCase
from cowslipstep.replay.late_loads._known import Known, Way
from cowslipstep.replay.late_loads._ways import two_random


class FreeSlotAnnouncements(Way):
    """Each group that ends a request announces the free slot to one daemon.

    A daemon without an announcement takes the less loaded of two groups.

    Parameters
    ----------
    case
        The case.

    References
    ----------
    Y. Lu et al., "Join-Idle-Queue: A novel load balancing algorithm for
    dynamically scalable web services", Performance Evaluation 68(11), 2011.
    """

    def __init__(self, case: LateLoadCase) -> None:
        super().__init__(self._take)
        self._case = case
        self._announced: defaultdict[int, deque[int]] = defaultdict(deque)

    def record_end(self, group: int, requests: int, rng: random.Random) -> None:
        """Announce a free slot."""
        if requests >= self._case.slots:
            return
        self.messages += 1
        self._announced[rng.randrange(self._case.daemons)].append(group)

    def _take(self, known: Known, rng: random.Random) -> int:
        announced = self._announced[known.daemon]
        return announced.popleft() if announced else two_random(known, rng)
