"""How the descriptors of a daemon are shared out."""

from __future__ import annotations

import math
import resource

from attrs import asdict, astuple, evolve, frozen
from loguru import logger

# Descriptors for files that the process holds or opens for a moment: logs,
# settings, and those of the interpreter.
_FILES = 64
# Largest part of each reserve, and its part of all sockets where they are few.
_MAX_PLATFORM = 32
_MAX_PEERS = 256
_MAX_OPERATORS = 64
_MAX_SPARE = 64
_RESERVE_DIVISOR = 16
_PEERS_DIVISOR = 8
# Sockets that are shared out at least, whatever the settings say.
_MIN_SOCKETS = 64


@frozen
class DescriptorBudget:
    """Sockets that may be open at the same time, by their use.

    Parameters
    ----------
    callers
        Connections of callers. Each may hold a request, and that a connection
        to an upstream.
    upstreams
        Connections to upstreams, probes and commands included.
    platform
        Connections to the platform.
    peers
        Connections of other daemons.
    operators
        Connections of the balancer and of scrapes of metrics, on each of their
        listeners.
    spare
        Connections of callers that are accepted to be refused.
    """

    callers: int
    upstreams: int
    platform: int
    peers: int
    operators: int
    spare: int

    @property
    def total(self) -> int:
        """Number of all sockets; there are two listeners for operators."""
        return sum(astuple(self)) + self.operators

    def log(self) -> None:
        """Log the budget."""
        logger.bind(**asdict(self)).info('descriptors shared out')


def share_out(max_sockets: float) -> DescriptorBudget:
    """Return the budget for a number of sockets.

    Parameters
    ----------
    max_sockets
        Sockets that the settings allow; infinite if they set no limit. The
        limit of the process applies, too.

    Examples
    --------
    >>> budget = share_out(400)
    >>> budget.callers > budget.peers + budget.operators + budget.platform
    True
    """
    sockets = max(_MIN_SOCKETS, int(min(max_sockets, _process_limit())))
    reserve = sockets // _RESERVE_DIVISOR
    reserved = DescriptorBudget(
        callers=0,
        upstreams=0,
        platform=min(_MAX_PLATFORM, reserve),
        peers=min(_MAX_PEERS, sockets // _PEERS_DIVISOR),
        operators=min(_MAX_OPERATORS, reserve),
        spare=min(_MAX_SPARE, reserve),
    )
    remainder = sockets - reserved.total
    callers = remainder // 2
    return evolve(reserved, callers=callers, upstreams=remainder - callers)


def _process_limit() -> float:
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        return math.inf
    return limit - _FILES
