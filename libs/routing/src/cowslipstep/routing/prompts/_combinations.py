"""Which parts of prompts have ended upstreams."""

from __future__ import annotations

import itertools
from collections.abc import Iterable

from cowslipstep.routing.prompts._candidates import (
    MIN_UPSTREAMS,
    ShareOf,
    candidates,
)
from cowslipstep.routing.prompts._failures import (
    Combination,
    FailuresByUpstream,
    PromptFailure,
    by_upstream,
    is_harmful,
    shared_parts,
)

# Assumed share of the requests that hold a part of which nothing is known.
_UNKNOWN_SHARE = 0.02


def unknown_share(_part: str) -> float:
    """Return the share of requests with a part of which nothing is known."""
    return _UNKNOWN_SHARE


def harmful_combinations(
    failures: Iterable[PromptFailure],
    share_of: ShareOf = unknown_share,
) -> frozenset[Combination]:
    """Return the combinations of parts with which requests are refused.

    A part that fails only together with another one may be innocent, so that a
    request is refused only with all parts that the failures of a harmful part
    have in common. What else failed at an upstream that a harmful part ended
    says little: it was there.

    Parameters
    ----------
    failures
        Failures that count.
    share_of
        Returns the share of all requests that hold a part.

    Examples
    --------
    >>> failures = [
    ...     PromptFailure('r1', ('greeting', 'deadly')),
    ...     PromptFailure('r1', ('greeting', 'deadly')),
    ...     PromptFailure('r2', ('other', 'deadly')),
    ... ]
    >>> harmful_combinations(failures)
    frozenset({frozenset({'deadly'})})
    """
    known = tuple(failures)
    combinations: set[Combination] = set()
    unexplained = by_upstream(known)
    while common := _worst_combination(unexplained, share_of):
        combinations.add(common)
        unexplained = _without(unexplained, common)
    return frozenset(combinations) | _beside(known, combinations, share_of)


def ended_alone(
    failures: Iterable[PromptFailure], combination: Combination
) -> bool:
    """Return whether a combination must have ended upstreams.

    Only prompts with it failed at several upstreams, and they have nothing
    else in common.
    """
    alone = [
        failed
        for failed in by_upstream(failures).values()
        if all(combination.issubset(failure.parts) for failure in failed)
    ]
    if len(alone) < MIN_UPSTREAMS:
        return False
    return combination == shared_parts(itertools.chain.from_iterable(alone))


def _worst_combination(
    unexplained: FailuresByUpstream, share_of: ShareOf
) -> Combination:
    """Return what the failures of the worst part share; empty for none."""
    suspects = [
        one for one in candidates(unexplained, share_of) if one.suffices
    ]
    if not suspects:
        return frozenset()
    sizes = [len(failed) for failed in unexplained.values()]
    return max(suspects, key=lambda one: one.rank(sizes)).common_parts


def _without(
    unexplained: FailuresByUpstream, common: Combination
) -> FailuresByUpstream:
    """Return the upstreams that a combination did not end."""
    return {
        upstream: failed
        for upstream, failed in unexplained.items()
        if not any(common.issubset(failure.parts) for failure in failed)
    }


def _beside(
    failures: Iterable[PromptFailure],
    combinations: Iterable[Combination],
    share_of: ShareOf,
) -> frozenset[Combination]:
    """Return further parts that were there at many upstreams that ended.

    Two harmful parts may come together so often that the first one found
    explains all ends.
    """
    others = by_upstream(
        failure
        for failure in failures
        if not is_harmful(failure.parts, combinations)
    )
    return frozenset(
        candidate.common_parts
        for candidate in candidates(others, share_of)
        if candidate.is_frequent
    )
