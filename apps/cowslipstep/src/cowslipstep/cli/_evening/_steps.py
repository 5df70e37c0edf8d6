"""Upper ends of axes."""

from __future__ import annotations

_STEPS = (1, 2, 4, 6, 10)
_BASE = 10


def nice_top(largest: float) -> int:
    """Return a round number that is at least a figure and one.

    Examples
    --------
    >>> nice_top(0), nice_top(1.2), nice_top(7), nice_top(538)
    (1, 2, 10, 600)
    """
    power = 1
    while power * _BASE < largest:
        power *= _BASE
    return next(step * power for step in _STEPS if step * power >= largest)
