"""What the page is built from."""

from __future__ import annotations

from attrs import frozen

from cowslipstep.metrics import Day, DurationHistogram, empty_histogram
from cowslipstep.model import Configuration

COMPLETED = 'completed'
NOT_RUN = 'not_run'
MAY_HAVE_RUN = 'may_have_run'
VERDICTS = (COMPLETED, NOT_RUN, MAY_HAVE_RUN)


@frozen
class Facts:
    """Figures of a day and the configuration that they are compared with."""

    day: Day
    configuration: Configuration

    @property
    def flood_refused_share(self) -> float:
        """Share of refused requests above which a slot is a flood."""
        return self.configuration.targets.flood_refused_share

    @property
    def elapsed_s(self) -> float:
        """Time from the first figure of the day to the last, seconds."""
        statuses = self.day.statuses
        first = min((one.since_unix_s for one in statuses), default=0)
        last = max((one.written_at_unix_s for one in statuses), default=0)
        return last - first

    def count(self, verdict: str, **labels: str) -> int:
        """Return how many requests ended with a verdict."""
        return int(self.day.total('requests', verdict=verdict, **labels))

    def asked(self, **labels: str) -> int:
        """Return how many requests ended."""
        return int(self.day.total('requests', **labels))

    def durations(
        self,
        name: str,
        rank: str = '',
        workspace: str = '',
    ) -> DurationHistogram:
        """Add up the histograms of a name; empty text stands for all."""
        merged = empty_histogram()
        for series, histogram in self.day.histograms.items():
            wanted = (
                series.name == name
                and rank in {'', series.rank}
                and workspace in {'', series.workspace}
            )
            if wanted:
                merged.add(histogram)
        return merged
