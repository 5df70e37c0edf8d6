"""Times in which none of the tasks of a daemon could run."""

from __future__ import annotations

from attrs import define, field
from loguru import logger

from cowslipstep.metrics import DurationHistogram, empty_histogram

# Callers notice pauses of this length, seconds.
_LOGGED_PAUSE_S = 0.25
_LOG_DECIMALS = 3
_QUANTILES = (0.5, 0.99, 1)


@define
class LoopPauses:
    """Durations of the pauses since the start of the process.

    Attributes
    ----------
    longest_s
        The longest pause, seconds.
    """

    longest_s: float = 0
    _durations: DurationHistogram = field(factory=empty_histogram)

    def record(self, pause_s: float, processor_s: float) -> None:
        """Record a pause; log a long one.

        Much processor time beside a long pause means that a task ran without
        a wait; little of it, that the process was not run.

        Parameters
        ----------
        pause_s
            Duration of the pause, seconds.
        processor_s
            Processor time of the process meanwhile, seconds.
        """
        self._durations.record(pause_s)
        self.longest_s = max(self.longest_s, pause_s)
        if pause_s >= _LOGGED_PAUSE_S:
            logger.bind(
                pause_s=round(pause_s, _LOG_DECIMALS),
                processor_s=round(processor_s, _LOG_DECIMALS),
                longest_s=round(self.longest_s, _LOG_DECIMALS),
            ).warning('no task of the daemon could run for this time')

    def quantiles_s(self) -> dict[float, float]:
        """Return durations by quantile, seconds."""
        return dict(
            zip(
                _QUANTILES, self._durations.quantiles_s(_QUANTILES), strict=True
            )
        )
