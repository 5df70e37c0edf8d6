"""Input of the report: figures of a day, and a configuration."""

from __future__ import annotations

from attrs import frozen

from cowslipstep.metrics import DurationHistogram, MergedDay, empty_histogram
from cowslipstep.model import Configuration

COMPLETED = 'completed'
NOT_RUN = 'not_run'
MAY_HAVE_RUN = 'may_have_run'
VERDICTS = (COMPLETED, NOT_RUN, MAY_HAVE_RUN)


@frozen
class ReportInput:
    """Figures of a day, and the configuration that holds the targets."""

    day: MergedDay
    configuration: Configuration

    @property
    def flood_refused_share(self) -> float:
        """Share of refused requests above which a slot is part of a flood."""
        return self.configuration.targets.flood_refused_share

    @property
    def elapsed_s(self) -> float:
        """Time from the first to the last figure of the day, seconds."""
        statuses = self.day.statuses
        first = min((one.since_unix_s for one in statuses), default=0)
        last = max((one.written_at_unix_s for one in statuses), default=0)
        return last - first

    def count_with_verdict(self, verdict: str, **labels: str) -> int:
        """Return how many requests with some labels ended with a verdict."""
        return int(self.day.total('requests', verdict=verdict, **labels))

    def count_requests(self, **labels: str) -> int:
        """Return how many requests with some labels ended."""
        return int(self.day.total('requests', **labels))

    def durations(
        self,
        name: str,
        rank: str = '',
        workspace: str = '',
    ) -> DurationHistogram:
        """Add up the histograms of a name.

        Without a rank or workspace, those of all ranks or workspaces are
        added up.
        """
        merged = empty_histogram()
        for series, histogram in self.day.histograms.items():
            is_included = (
                series.name == name
                and rank in {'', series.rank}
                and workspace in {'', series.workspace}
            )
            if is_included:
                merged.add(histogram)
        return merged
