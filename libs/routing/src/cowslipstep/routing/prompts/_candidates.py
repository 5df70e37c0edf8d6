"""Parts of prompts that may have ended upstreams."""

from __future__ import annotations

import itertools
from collections import defaultdict
from collections.abc import Callable, Iterable

from attrs import frozen

from cowslipstep.routing.prompts._failures import (
    Combination,
    FailuresByUpstream,
    PromptFailure,
    by_upstream,
    shared_parts,
)

# A part is harmful after this many failures, of this many requests, at this
# many upstreams: one sound request may be cut as another one ends the upstream,
# and again when both are sent on to the next one.
_MIN_FAILURES = 3
_MIN_REQUESTS = 2
MIN_UPSTREAMS = 2
# A part in more than this share of all requests is there whenever an upstream
# ends, so that more of them have to end.
_COMMON_SHARE = 0.5
_MIN_UPSTREAMS_OF_COMMON = 8
# A part in this many requests that failed at as many upstreams is harmful, too,
# if another part explains the ends.
_MIN_FREQUENT = 5

ShareOf = Callable[[str], float]


@frozen
class Candidate:
    """A part, and the failures of requests that hold it.

    Parameters
    ----------
    failures
        The failures.
    share
        Share of all requests that hold the part.
    """

    failures: tuple[PromptFailure, ...]
    share: float

    @property
    def upstreams(self) -> int:
        """Number of upstreams that ended while it was there."""
        return len(by_upstream(self.failures))

    @property
    def requests(self) -> int:
        """Number of requests that failed with it."""
        return len({failure.request for failure in self.failures})

    @property
    def suffices(self) -> bool:
        """Whether enough failed with it to explain the ends."""
        if self.requests < _MIN_REQUESTS or len(self.failures) < _MIN_FAILURES:
            return False
        if self.share > _COMMON_SHARE:
            return self.upstreams >= _MIN_UPSTREAMS_OF_COMMON
        return self.upstreams >= MIN_UPSTREAMS

    @property
    def is_frequent(self) -> bool:
        """Whether enough failed with it although another part explains it."""
        is_common = self.share > _COMMON_SHARE
        return (
            min(self.requests, self.upstreams) >= _MIN_FREQUENT
            and not is_common
        )

    @property
    def common_parts(self) -> Combination:
        """Parts that all of its failures hold."""
        return shared_parts(self.failures)

    def rank(self, sizes: Iterable[int]) -> tuple[float, int]:
        """Return how many more upstreams ended with it than by chance.

        Of parts with the same figure, the one that fewer failures hold goes
        first: one request ends an upstream, others are only there.

        Parameters
        ----------
        sizes
            Number of failures at each upstream.
        """
        others = 1 - self.share
        by_chance = sum(1 - others**size for size in sizes)
        return self.upstreams - by_chance, -len(self.failures)


def candidates(
    upstreams: FailuresByUpstream, share_of: ShareOf
) -> list[Candidate]:
    """Return all parts that failed, with their failures."""
    by_part: defaultdict[str, list[PromptFailure]] = defaultdict(list)
    for failed in itertools.chain.from_iterable(upstreams.values()):
        for held in dict.fromkeys(failed.parts):
            by_part[held].append(failed)
    return [
        Candidate(tuple(failures), share_of(part))
        for part, failures in by_part.items()
    ]
