"""The whole report and its first line."""

from __future__ import annotations

from attrs import evolve, frozen

from cowslipstep.cli._evening_report._floods import flood_section
from cowslipstep.cli._evening_report._formatting import count_text
from cowslipstep.cli._evening_report._groups import group_section
from cowslipstep.cli._evening_report._incidents import incident_section
from cowslipstep.cli._evening_report._outcomes import outcome_section
from cowslipstep.cli._evening_report._ranks import rank_section
from cowslipstep.cli._evening_report._report_input import ReportInput
from cowslipstep.cli._evening_report._sections import Measure, Section
from cowslipstep.cli._evening_report._summary import summary_lines
from cowslipstep.cli._evening_report._workspaces import workspace_section
from cowslipstep.metrics import MergedDay
from cowslipstep.model import Configuration


@frozen
class EveningReport:
    """The evening report.

    Parameters
    ----------
    day
        The day in UTC, for example ``2026-12-04``.
    well
        Whether there are statuses and no measure missed its target.
    first_line
        Yes or no, and why.
    summary
        Lines on requests, floods, lost group members and silent daemons.
    sections
        Measures, tables, charts and plots behind the first line.
    """

    day: str
    well: bool
    first_line: str
    summary: tuple[str, ...]
    sections: tuple[Section, ...]

    @property
    def measures(self) -> tuple[Measure, ...]:
        """All measures, first those that missed their targets."""
        found = [one for section in self.sections for one in section.measures]
        return tuple(sorted(found, key=_order))

    @property
    def missed(self) -> tuple[Measure, ...]:
        """The measures that missed their targets."""
        return tuple(one for one in self.measures if one.reached is False)


def build_report(day: MergedDay, configuration: Configuration) -> EveningReport:
    """Compare the figures of a day with the configured targets."""
    report_input = ReportInput(day, configuration)
    sections = (
        rank_section(report_input),
        outcome_section(report_input),
        workspace_section(report_input),
        flood_section(report_input),
        group_section(report_input),
        incident_section(report_input),
    )
    measured = EveningReport(
        day.name, False, '', tuple(summary_lines(report_input)), sections
    )
    missed = measured.missed
    return evolve(
        measured,
        well=bool(day.statuses) and not missed,
        first_line=_first_line(day, report_input, missed),
    )


def _order(measure: Measure) -> tuple[bool, int]:
    return measure.reached is not False, measure.place


def _first_line(
    day: MergedDay, report_input: ReportInput, missed: tuple[Measure, ...]
) -> str:
    if not day.statuses:
        return f'No: no daemon wrote a status on {day.name}'
    if missed:
        reasons = '; '.join(
            f'{measure.name}: {measure.figure}, target {measure.target}'
            for measure in missed
        )
        return f'No: {reasons}'
    requests = count_text(report_input.count_requests())
    return f'Yes: all targets were reached, with {requests} requests'
