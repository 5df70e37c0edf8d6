"""Place of a request in the queue of an upstream, by rank and route.

Load pattern: a key gives all requests of its workspace one rank, short answers
that a person waits for and long summaries alike. Once a group is full, the
former wait for the latter although their route goes first.
"""

from __future__ import annotations

# Ranks from this one on share a level, so that all of them go before
# best-effort requests.
_MAX_LEVEL = 4
_LEVELS_PER_RANK = 2


def urgency_level(rank: int, route_rank: int) -> int:
    """Return the urgency of a request that is on time; 0 goes first.

    The rank goes first. Among requests of a rank, those of routes that have it
    themselves go before those that only their key raises to it.

    Parameters
    ----------
    rank
        Rank of the request: that of its key, or else that of its route.
    route_rank
        Rank of its route.

    Examples
    --------
    >>> urgency_level(1, 0), urgency_level(1, 1), urgency_level(1, 2)
    (2, 2, 3)
    >>> urgency_level(0, 2), urgency_level(7, 7)
    (1, 4)
    """
    is_raised = route_rank > rank
    return min(_MAX_LEVEL, _LEVELS_PER_RANK * max(0, rank) + is_raised)
