"""How the memory of a machine is shared out between what callers hold.

Load pattern: many clients that nobody controls, on machines of 200 to 552 MB.
"""

from __future__ import annotations

from attrs import frozen

# What a process takes without callers: 49 MB (users' platform) and 75 MB (the
# product's own daemon) were measured at rest, with small fleets.
_PROCESS_BYTES = 80_000_000
# A charged byte may take two: buffers grow by copying, and what is sent is
# joined from parts. So a quarter of the rest is charged up to.
_CHARGED_DIVISOR = 4
# The other half of the rest is for the connections themselves.
_CONNECTIONS_DIVISOR = 2
# Measured for a request that waits in a handler, two green threads and the
# connection to the upstream included: 65 kB; an idle connection takes 22 kB.
_CONNECTION_BYTES = 65_000
_MIN_CONNECTIONS = 64
# Part of the budget that only small holders may use, and the most that one of
# them holds.
_RESERVE_DIVISOR = 4
SMALL_BYTES = 65_536


@frozen
class ByteLimits:
    """Limits on the bytes that are held for callers.

    Parameters
    ----------
    max_bytes
        Bytes of all holders together.
    max_large_bytes
        Bytes of all large holders together; the rest is the reserve for small
        ones.
    """

    max_bytes: float
    max_large_bytes: float


def byte_limits(memory_bytes: float, largest_bytes: int) -> ByteLimits:
    """Return the limits on a machine.

    Parameters
    ----------
    memory_bytes
        Memory of the machine.
    largest_bytes
        Bytes of the largest single request and its response; there is always
        room for one.

    Examples
    --------
    >>> byte_limits(200_000_000, 1_000_000)
    ByteLimits(max_bytes=30000000, max_large_bytes=22500000)
    >>> byte_limits(0, 3_000_000).max_large_bytes
    3000000
    """
    charged = int(_remaining(memory_bytes) / _CHARGED_DIVISOR)
    reserve = charged // _RESERVE_DIVISOR
    max_large_bytes = max(charged - reserve, largest_bytes)
    max_bytes = max_large_bytes + max(reserve, SMALL_BYTES)
    return ByteLimits(max_bytes, max_large_bytes)


def connections_within(memory_bytes: float) -> int:
    """Return the number of connections of callers that a machine bears.

    Examples
    --------
    >>> connections_within(200_000_000)
    923
    """
    remaining = _remaining(memory_bytes) / _CONNECTIONS_DIVISOR
    return max(_MIN_CONNECTIONS, int(remaining / _CONNECTION_BYTES))


def _remaining(memory_bytes: float) -> float:
    return max(0, memory_bytes - _PROCESS_BYTES)
