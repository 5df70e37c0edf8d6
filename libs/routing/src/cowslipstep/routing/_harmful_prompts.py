"""Prompts that end the upstreams that begin to respond to them.

Load pattern: some requests share a part of their prompts, and any upstream that
begins to write a response to one of them ends at once, with all that it serves.
Retries and callers send such requests on to the next upstream. Sound requests
share their first parts with them and are cut off beside them.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence

from attrs import frozen

# A part is harmful after this many failures, of this many requests: one sound
# request may begin its response just as another one ends the upstream.
_MIN_FAILURES = 3
_MIN_REQUESTS = 2

Combination = frozenset[str]


@frozen
class PromptFailure:
    """An attempt that ended its upstream, or was cut as another one did.

    Parameters
    ----------
    request
        Id of the request.
    parts
        Parts of its prompt that other requests may share and that are not
        known to be sound.
    """

    request: str
    parts: tuple[str, ...]


def harmful_combinations(
    failures: Iterable[PromptFailure],
) -> frozenset[Combination]:
    """Return the combinations of parts with which requests are refused.

    A part that fails only together with another one may be innocent, so that a
    request is refused only with all parts that the failures of a harmful part
    have in common. Failures with such a combination say nothing of other parts.

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
    combinations: set[Combination] = set()
    unexplained = list(failures)
    while common := _most_frequent_combination(unexplained):
        combinations.add(common)
        unexplained = [
            failure
            for failure in unexplained
            if not common.issubset(failure.parts)
        ]
    return frozenset(combinations)


def is_harmful(
    parts: Sequence[str], combinations: Iterable[Combination]
) -> bool:
    """Return whether a prompt holds one of the harmful combinations."""
    held = frozenset(parts)
    return any(combination <= held for combination in combinations)


def _most_frequent_combination(
    failures: Sequence[PromptFailure],
) -> Combination:
    """Return what the failures of the worst part share; empty for none."""
    failures_by_part: defaultdict[str, list[PromptFailure]] = defaultdict(list)
    for failed in failures:
        for part in dict.fromkeys(failed.parts):
            failures_by_part[part].append(failed)
    candidates = filter(_suffice, failures_by_part.values())
    worst: list[PromptFailure] = max(candidates, key=len, default=[])
    if not worst:
        return frozenset()
    return frozenset.intersection(
        *(frozenset(failure.parts) for failure in worst)
    )


def _suffice(failures: Sequence[PromptFailure]) -> bool:
    requests = {failure.request for failure in failures}
    return len(failures) >= _MIN_FAILURES and len(requests) >= _MIN_REQUESTS
