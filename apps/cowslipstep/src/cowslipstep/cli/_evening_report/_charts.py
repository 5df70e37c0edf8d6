"""Contents of the report's charts and plots, independent of rendering."""

from __future__ import annotations

from attrs import frozen

_ZOOMED_AXIS_BEGIN = 0.8


@frozen
class ShareBar:
    """One bar of a chart; ``reached`` says whether it reached its target."""

    label: str
    share: float
    target: float
    reached: bool


@frozen
class BarChart:
    """Shares as bars; ``axis`` says what they are shares of."""

    title: str
    axis: str
    bars: tuple[ShareBar, ...]

    @property
    def begin(self) -> float:
        """Share at which the axis begins.

        It is above zero if all shares and targets are large, so that their
        differences can be seen.

        Examples
        --------
        >>> bars = [ShareBar('a', 0.99, 0.95, reached=True)]
        >>> BarChart('in time', 'share', tuple(bars)).begin
        0.8
        >>> bars.append(ShareBar('b', 0.5, 0.95, reached=False))
        >>> BarChart('in time', 'share', tuple(bars)).begin
        0
        """
        ends = [min(drawn.share, drawn.target) for drawn in self.bars]
        return (
            _ZOOMED_AXIS_BEGIN
            if min(ends, default=0) > _ZOOMED_AXIS_BEGIN
            else 0
        )


@frozen
class Curve:
    """A figure for each five-minute slot of a day."""

    label: str
    figures: tuple[float, ...]


@frozen
class SlotRange:
    """Slots that are shaded, from the first to the last, both included."""

    first: int
    last: int


@frozen
class LinePlot:
    """Curves over the slots of a day; ``axis`` names what they count."""

    title: str
    axis: str
    curves: tuple[Curve, ...]
    bands: tuple[SlotRange, ...] = ()
