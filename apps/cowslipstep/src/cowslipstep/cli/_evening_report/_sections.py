"""Sections, measures and tables of the report, independent of rendering."""

from __future__ import annotations

import enum

from attrs import field, frozen

from cowslipstep.cli._evening_report._charts import BarChart, LinePlot

Row = tuple[str, ...]


class MeasurePriority(enum.IntEnum):
    """Order in which missed targets are listed, the most important first."""

    urgent = 0
    orders = 1
    small_workspaces = 2
    other_ranks = 3
    fleet = 4


@frozen
class Measure:
    """One measure of the day and its target.

    Parameters
    ----------
    name
        What is measured.
    figure
        Measured figure as text, with its unit.
    target
        Target as text, for example ``at least 95%``.
    reached
        Whether the target was reached; ``None`` if nothing was measured.
    place
        Its priority among missed targets; the smallest is listed first.
    """

    name: str
    figure: str
    target: str
    reached: bool | None
    place: MeasurePriority = MeasurePriority.fleet


@frozen
class Table:
    """A table; ``head`` names its columns."""

    title: str
    head: Row
    rows: tuple[Row, ...]


@frozen
class Section:
    """Measures of one subject, with tables, charts and plots on it."""

    title: str
    measures: tuple[Measure, ...] = ()
    tables: tuple[Table, ...] = ()
    charts: tuple[BarChart, ...] = ()
    plots: tuple[LinePlot, ...] = field(default=())
