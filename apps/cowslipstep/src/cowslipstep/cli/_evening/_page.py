"""The whole page and its first line."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import frozen

from cowslipstep.cli._evening._facts import Facts
from cowslipstep.cli._evening._floods import flood_section
from cowslipstep.cli._evening._groups import group_section
from cowslipstep.cli._evening._incidents import incident_section
from cowslipstep.cli._evening._orders import outcome_section
from cowslipstep.cli._evening._parts import Measure, Section
from cowslipstep.cli._evening._ranks import rank_section
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
    sections
        What the first line rests on.
    """

    day: str
    well: bool
    first_line: str
    sections: tuple[Section, ...]


def build_page(day: Day, configuration: Configuration) -> Page:
    """Compare the figures of a day with the targets."""
    facts = Facts(day, configuration)
    sections = (
        rank_section(facts),
        workspace_section(facts),
        outcome_section(facts),
        flood_section(facts),
        group_section(facts),
        incident_section(facts),
    )
    missed = list(_missed(sections))
    well = bool(day.statuses) and not missed
    return Page(day.name, well, _first_line(day, facts, missed), sections)


def _missed(sections: tuple[Section, ...]) -> Iterator[Measure]:
    for section in sections:
        for measure in section.measures:
            if measure.reached is False:
                yield measure


def _first_line(day: Day, facts: Facts, missed: list[Measure]) -> str:
    if not day.statuses:
        return f'No: no daemon wrote a status on {day.name}'
    if missed:
        reasons = '; '.join(
            f'{measure.name}: {measure.figure}, target {measure.target}'
            for measure in missed
        )
        return f'No: {reasons}'
    asked = facts.asked()
    return f'Yes: all targets were reached, with {asked} requests'
