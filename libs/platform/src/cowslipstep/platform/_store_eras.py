"""Eras of a store that may come back from an older copy.

Load pattern: the store is away for a moment and comes back from a copy that
is some seconds old. It gives out revisions again that it had given out
before, so that those of two eras cannot be compared. Each response names its
era, which rises by one each time.

All code but the calls themselves therefore counts in positions, which
combine era and revision and never go back. Without eras a position is the
revision.
"""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field


# Enough for the revisions that a store gives out in years.
_REVISION_BITS = 40


def position(era: int | None, revision: int) -> int:
    """Return the position of a revision in an era; ``None`` counts as zero.

    Examples
    --------
    >>> position(None, 7)
    7
    >>> position(2, 7) > position(1, 900)
    True
    >>> era_of(position(2, 7)), revision_of(position(2, 7))
    (2, 7)
    """
    return ((era or 0) << _REVISION_BITS) + revision


def era_of(at_position: int) -> int:
    """Return the era of a position."""
    return at_position >> _REVISION_BITS


def revision_of(at_position: int) -> int:
    """Return the revision of a position, as the store counts it."""
    return at_position - (era_of(at_position) << _REVISION_BITS)


@define
class StoreEras:
    """The newest era that the responses of the store have named.

    Attributes
    ----------
    observers
        Called with each era that is newer than another one seen before.
    newest
        The newest era; zero if no response has named one.
    restorations
        How often a newer era followed another one.

    Examples
    --------
    >>> eras = StoreEras()
    >>> eras.observe(3), eras.observe(4), eras.observe(None)
    (3, 4, 4)
    >>> eras.restorations
    1
    """

    observers: list[Callable[[int], None]] = field(factory=list)
    newest: int = 0
    restorations: int = 0

    def observe(self, era: int | None) -> int:
        """Record the era of a response; return it, or the newest for none."""
        if era is None:
            return self.newest
        if era > self.newest:
            is_restored = self.newest > 0
            self.newest = era
            if is_restored:
                self.restorations += 1
                for observer in self.observers:
                    observer(era)
        return era
