"""Charts and plots of the page, without their rendering."""

from __future__ import annotations

from attrs import frozen


_BROKEN_BEGIN = 0.8


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

    @property
    def begin(self) -> float:
        """Share at which the axis begins: near the bars if all are large.

        Examples
        --------
        >>> bars = [ShareBar('a', 0.99, 0.95, reached=True)]
        >>> Chart('in time', 'share', tuple(bars)).begin
        0.8
        >>> bars.append(ShareBar('b', 0.5, 0.95, reached=False))
        >>> Chart('in time', 'share', tuple(bars)).begin
        0
        """
        ends = [min(drawn.share, drawn.target) for drawn in self.bars]
        return _BROKEN_BEGIN if min(ends, default=0) > _BROKEN_BEGIN else 0


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
