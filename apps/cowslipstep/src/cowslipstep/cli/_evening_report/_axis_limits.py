"""Round upper limits of plot axes."""

from __future__ import annotations

_LEADING_FACTORS = (1, 2, 4, 6, 10)
_NUMBER_BASE = 10


def axis_limit(largest: float) -> int:
    """Return a round number that is at least ``largest`` and at least one.

    Examples
    --------
    >>> axis_limit(0), axis_limit(1.2), axis_limit(7), axis_limit(538)
    (1, 2, 10, 600)
    """
    power = 1
    while power * _NUMBER_BASE < largest:
        power *= _NUMBER_BASE
    return next(
        step * power for step in _LEADING_FACTORS if step * power >= largest
    )
