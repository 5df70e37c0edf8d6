"""Upstreams that daemons avoid because those of others did not respond.

Load pattern: hosts go dark a few at a time in a large fleet. A dark upstream
has few requests in progress, so that each daemon would choose it before all
others and lose a request of its own there before it avoids it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable

from cowslipstep.model.loads import LoadReport

# One daemon may be cut off from an upstream that the others reach.
_MIN_DOUBTING_DAEMONS = 2
# If fewer upstreams than this part would remain, doubts are ignored: either the
# daemons that report them are cut off, or those that remain would be
# overloaded.
_MIN_TRUSTED_SHARE = 2 / 3


def doubted_upstreams(reports: Iterable[LoadReport]) -> frozenset[str]:
    """Return the upstreams that do not respond to several daemons.

    Examples
    --------
    >>> from cowslipstep.model.loads import UpstreamDoubt
    >>> report = LoadReport('a', 1, 0, doubts=(UpstreamDoubt('u', 1),))
    >>> doubted_upstreams([report]), doubted_upstreams([report, report])
    (frozenset(), frozenset({'u'}))
    """
    daemons: Counter[str] = Counter()
    for report in reports:
        for doubt in report.doubts:
            daemons[doubt.upstream] += doubt.daemons
    return frozenset(
        upstream
        for upstream, count in daemons.items()
        if count >= _MIN_DOUBTING_DAEMONS
    )


def trusted_upstreams(
    upstreams: Collection[str],
    suspected: Collection[str],
    doubted: Collection[str],
) -> frozenset[str]:
    """Return the upstreams to choose from; all if none is trusted.

    Parameters
    ----------
    upstreams
        Upstreams that may serve a request.
    suspected
        Those at which requests of this daemon failed lately.
    doubted
        Those that do not respond to several other daemons.

    Examples
    --------
    >>> sorted(trusted_upstreams('abcd', 'a', 'b'))
    ['c', 'd']
    >>> sorted(trusted_upstreams('abcd', 'a', 'bc'))
    ['b', 'c', 'd']
    """
    unsuspected = frozenset(upstreams).difference(suspected)
    trusted = unsuspected.difference(doubted)
    if len(trusted) >= _MIN_TRUSTED_SHARE * len(unsuspected) and trusted:
        return trusted
    return unsuspected or frozenset(upstreams)
