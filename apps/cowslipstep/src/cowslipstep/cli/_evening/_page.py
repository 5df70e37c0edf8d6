"""The whole page and its first line."""

from __future__ import annotations

from attrs import evolve, frozen

from cowslipstep.cli._evening._facts import Facts
from cowslipstep.cli._evening._floods import flood_section
from cowslipstep.cli._evening._groups import group_section
from cowslipstep.cli._evening._incidents import incident_section
from cowslipstep.cli._evening._numbers import count_text
from cowslipstep.cli._evening._orders import outcome_section
from cowslipstep.cli._evening._parts import Measure, Section
from cowslipstep.cli._evening._ranks import rank_section
from cowslipstep.cli._evening._summary import summary_lines
from cowslipstep.cli._evening._workspaces import workspace_section
from cowslipstep.metrics import Day
from cowslipstep.model import Configuration


@frozen
class Page:
    """The evening page.

    Parameters
    ----------
    day
        The day in UTC.
    well
        Whether all measures reached their targets.
    first_line
        Yes or no, and why.
    summary
        What happened, in a few lines.
    sections
        What the first line rests on.
    """

    day: str
    well: bool
    first_line: str
    summary: tuple[str, ...]
    sections: tuple[Section, ...]

    @property
    def measures(self) -> tuple[Measure, ...]:
        """All measures, those that missed their targets first."""
        found = [one for section in self.sections for one in section.measures]
        return tuple(sorted(found, key=_order))

    @property
    def missed(self) -> tuple[Measure, ...]:
        """The measures that missed their targets."""
        return tuple(one for one in self.measures if one.reached is False)


def build_page(day: Day, configuration: Configuration) -> Page:
    """Compare the figures of a day with the targets."""
    facts = Facts(day, configuration)
    sections = (
        rank_section(facts),
        outcome_section(facts),
        workspace_section(facts),
        flood_section(facts),
        group_section(facts),
        incident_section(facts),
    )
    measured = Page(day.name, False, '', tuple(summary_lines(facts)), sections)
    missed = measured.missed
    return evolve(
        measured,
        well=bool(day.statuses) and not missed,
        first_line=_first_line(day, facts, missed),
    )


def _order(measure: Measure) -> tuple[bool, int]:
    return measure.reached is not False, measure.place


def _first_line(day: Day, facts: Facts, missed: tuple[Measure, ...]) -> str:
    if not day.statuses:
        return f'No: no daemon wrote a status on {day.name}'
    if missed:
        reasons = '; '.join(
            f'{measure.name}: {measure.figure}, target {measure.target}'
            for measure in missed
        )
        return f'No: {reasons}'
    asked = count_text(facts.asked())
    return f'Yes: all targets were reached, with {asked} requests'
