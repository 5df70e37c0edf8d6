"""Numbers of groups, unique over all services of a fleet."""

from __future__ import annotations

# The epochs of a term are larger than all of earlier terms, if no term forms
# more groups than this.
_EPOCHS_PER_TERM = 10000


class Epochs:
    """Numbers the groups that are formed in one term, whatever their service.

    Runners refuse a group whose number is smaller than one that they have
    seen.

    Parameters
    ----------
    term
        Term of the lease under which groups are formed.

    Examples
    --------
    >>> epochs = Epochs(2)
    >>> epochs.next_epoch()
    20001
    >>> epochs.pass_over(30000)
    >>> epochs.next_epoch()
    30001
    """

    def __init__(self, term: int) -> None:
        self._last = _EPOCHS_PER_TERM * term

    def pass_over(self, reported: int) -> None:
        """Number no later group with this number or a smaller one."""
        self._last = max(self._last, reported)

    def next_epoch(self) -> int:
        """Return the number of the next group."""
        self._last += 1
        return self._last
