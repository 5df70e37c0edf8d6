"""Choice of the upstreams that the next attempt of a request avoids."""

from __future__ import annotations

from collections.abc import Collection, Sequence


def upstreams_to_avoid(
    attempted: Sequence[str],
    known: Collection[str],
) -> tuple[str, ...]:
    """Return the upstreams that the next attempt must not use.

    At least one known upstream always remains allowed. All attempted
    upstreams are avoided if another one is known; otherwise only the one
    attempted last; otherwise none.

    Parameters
    ----------
    attempted
        Upstreams that earlier attempts were sent to, the last one at the end.
    known
        All upstreams that could serve the request.

    Examples
    --------
    >>> upstreams_to_avoid(['a', 'b'], {'a', 'b', 'c'})
    ('a', 'b')
    >>> upstreams_to_avoid(['a', 'b'], {'a', 'b'})
    ('b',)
    >>> upstreams_to_avoid(['a'], {'a'})
    ()
    """
    if set(known) - set(attempted):
        return tuple(attempted)
    latest = tuple(attempted[-1:])
    if set(known) - set(latest):
        return latest
    return ()
