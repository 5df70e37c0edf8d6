"""Budget of retries: a ratio of first tries."""

from __future__ import annotations

_RATIO = 0.1
_MAX_SAVED = 10


class RetryBudget:
    """Allows retries in proportion to first tries.

    Parameters
    ----------
    ratio
        Retries allowed for each first try.
    max_saved
        Largest number of retries saved up for later.
    saved
        Retries saved up at the start; by default just less than one.

    Examples
    --------
    >>> budget = RetryBudget(ratio=0.5)
    >>> budget.record_request()
    >>> budget.spend(), budget.spend()
    (True, False)
    """

    def __init__(
        self,
        ratio: float = _RATIO,
        max_saved: float = _MAX_SAVED,
        saved: float | None = None,
    ) -> None:
        self._ratio = ratio
        self._max_saved = max_saved
        self._saved = 1 - ratio if saved is None else saved

    @property
    def allows_retry(self) -> bool:
        """Whether a retry could be taken now."""
        return self._saved >= 1

    def change_max_saved(self, max_saved: float) -> None:
        """Save up another number of retries from now on."""
        self._max_saved = max_saved
        self._saved = min(self._saved, max_saved)

    def record_request(self) -> None:
        """Note a first try."""
        self._saved = min(self._max_saved, self._saved + self._ratio)

    def spend(self) -> bool:
        """Take one retry if the budget allows it."""
        if not self.allows_retry:
            return False
        self._saved -= 1
        return True
