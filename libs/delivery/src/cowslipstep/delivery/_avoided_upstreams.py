"""Which upstreams a further try of a request avoids."""

from __future__ import annotations

from collections.abc import Collection, Sequence


def upstreams_to_avoid(
    tried: Sequence[str],
    known: Collection[str],
) -> tuple[str, ...]:
    """Return the upstreams to avoid, such that one of the known is left.

    All that were tried are avoided where another one is known, else the
    last one, else none.

    Examples
    --------
    >>> upstreams_to_avoid(['a', 'b'], {'a', 'b', 'c'})
    ('a', 'b')
    >>> upstreams_to_avoid(['a', 'b'], {'a', 'b'})
    ('b',)
    >>> upstreams_to_avoid(['a'], {'a'})
    ()
    """
    if set(known) - set(tried):
        return tuple(tried)
    latest = tuple(tried[-1:])
    if set(known) - set(latest):
        return latest
    return ()
