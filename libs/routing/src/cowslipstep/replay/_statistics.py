"""Statistics of the outcomes of a replay."""

from __future__ import annotations

import collections
import math
from collections.abc import Iterable, Sequence

from cowslipstep.replay._outcomes import Outcome


def percentile(numbers: Iterable[float], share: float) -> float:
    """Return the smallest number that a share of the numbers does not exceed.

    Without numbers it is zero.

    Examples
    --------
    >>> percentile([3, 1, 2, 4], 0.5)
    2
    """
    ordered = sorted(numbers)
    if not ordered:
        return 0
    position = math.ceil(share * len(ordered))
    return ordered[max(1, position) - 1]


def jain_index(numbers: Sequence[float]) -> float:
    """Return Jain's fairness index, 1 where all numbers are equal.

    Examples
    --------
    >>> jain_index([2, 2, 2])
    1.0
    """
    squares = sum(number**2 for number in numbers)
    if not squares:
        return 0
    return sum(numbers) ** 2 / (len(numbers) * squares)


def served_tokens(
    outcomes: Iterable[Outcome],
    start_s: float,
    end_s: float,
) -> collections.Counter[str]:
    """Return the tokens of in-time requests started in a period, by rank."""
    tokens: collections.Counter[str] = collections.Counter()
    for outcome in outcomes:
        if outcome.in_time and start_s <= outcome.started_s < end_s:
            tokens[outcome.arrival.rank] += outcome.tokens
    return tokens


def rank_shares(
    outcomes: Iterable[Outcome],
    start_s: float,
    end_s: float,
) -> dict[str, float]:
    """Return each rank's share of the tokens served in a period."""
    tokens = served_tokens(outcomes, start_s, end_s)
    total = sum(tokens.values())
    return {rank: count / total for rank, count in tokens.items()}
