"""Charts and plots of the page, without their rendering."""

from __future__ import annotations

from attrs import frozen


@frozen
class ShareBar:
    """One bar of a chart, with a mark for its target."""

    label: str
    share: float
    target: float
    reached: bool


@frozen
class Chart:
    """Shares as bars; ``axis`` says what they are shares of."""

    title: str
    axis: str
    bars: tuple[ShareBar, ...]


@frozen
class Curve:
    """Figures in the slots of a day."""

    label: str
    figures: tuple[float, ...]


@frozen
class Band:
    """Slots that are shaded, from the first to the last."""

    first: int
    last: int


@frozen
class Plot:
    """Curves over the slots of a day; ``axis`` names what they count."""

    title: str
    axis: str
    curves: tuple[Curve, ...]
    bands: tuple[Band, ...] = ()
