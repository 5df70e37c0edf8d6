"""Retry budget: limits retries to a ratio of the requests."""

from __future__ import annotations

_RETRIES_PER_REQUEST = 0.1
_MAX_SAVED_RETRIES = 10


class RetryBudget:
    """Token bucket: each request adds to it, and each retry takes one token.

    Apart from the saved tokens, retries are therefore at most a fixed
    fraction of the requests, also while all upstreams fail.

    Parameters
    ----------
    retries_per_request
        Number of retries that each request adds to the budget.
    max_saved
        Largest number of unspent retries that the budget holds.
    saved
        Number of unspent retries at the start; by default just too few for
        a retry before the first request.

    Examples
    --------
    >>> budget = RetryBudget(retries_per_request=0.5)
    >>> budget.record_request()
    >>> budget.spend(), budget.spend()
    (True, False)
    """

    def __init__(
        self,
        retries_per_request: float = _RETRIES_PER_REQUEST,
        max_saved: float = _MAX_SAVED_RETRIES,
        saved: float | None = None,
    ) -> None:
        self._retries_per_request = retries_per_request
        self._max_saved = max_saved
        self._saved = 1 - retries_per_request if saved is None else saved

    @property
    def allows_retry(self) -> bool:
        """Whether a retry is allowed now."""
        return self._saved >= 1

    def change_max_saved(self, max_saved: float) -> None:
        """Change the largest number of unspent retries.

        Retries saved beyond the new number are lost.
        """
        self._max_saved = max_saved
        self._saved = min(self._saved, max_saved)

    def record_request(self) -> None:
        """Add what the first attempt of a request earns to the budget."""
        self._saved = min(
            self._max_saved,
            self._saved + self._retries_per_request,
        )

    def spend(self) -> bool:
        """Spend one retry; return false if the budget does not allow it."""
        if not self.allows_retry:
            return False
        self._saved -= 1
        return True
