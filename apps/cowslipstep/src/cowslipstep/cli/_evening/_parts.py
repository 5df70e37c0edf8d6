"""Parts of the evening page, without their rendering."""

from __future__ import annotations

import enum

from attrs import field, frozen

from cowslipstep.cli._evening._drawings import Chart, Plot

Row = tuple[str, ...]


class Place(enum.IntEnum):
    """What matters most, first."""

    urgent = 0
    orders = 1
    small = 2
    ranks = 3
    fleet = 4


@frozen
class Measure:
    """One measure of the day against its target.

    Parameters
    ----------
    name
        What is measured.
    figure
        What was measured, with its unit.
    target
        What it is compared with.
    reached
        Whether the target was reached; ``None`` if nothing was measured.
    place
        Where it stands among others: the smallest first.
    """

    name: str
    figure: str
    target: str
    reached: bool | None
    place: Place = Place.fleet


@frozen
class Table:
    """A table with a head."""

    title: str
    head: Row
    rows: tuple[Row, ...]


@frozen
class Section:
    """Measures of one subject with what they rest on."""

    title: str
    measures: tuple[Measure, ...] = ()
    tables: tuple[Table, ...] = ()
    charts: tuple[Chart, ...] = ()
    plots: tuple[Plot, ...] = field(default=())
