"""Parts of the evening page, without their rendering."""

from __future__ import annotations

from attrs import field, frozen

Row = tuple[str, ...]


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
    """

    name: str
    figure: str
    target: str
    reached: bool | None


@frozen
class Table:
    """A table with a head."""

    title: str
    head: Row
    rows: tuple[Row, ...]


@frozen
class ShareBar:
    """One bar of a chart, with an optional mark for the target."""

    label: str
    share: float
    target: float = 0


@frozen
class Chart:
    """Shares as bars."""

    title: str
    bars: tuple[ShareBar, ...]


@frozen
class Curve:
    """Figures in the slots of a day."""

    label: str
    figures: tuple[float, ...]


@frozen
class Plot:
    """Curves over the slots of a day."""

    title: str
    curves: tuple[Curve, ...]


@frozen
class Section:
    """Measures of one subject with what they rest on."""

    title: str
    measures: tuple[Measure, ...] = ()
    tables: tuple[Table, ...] = ()
    charts: tuple[Chart, ...] = ()
    plots: tuple[Plot, ...] = field(default=())
