"""Failures of prompts, grouped by the upstream that ended."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

from attrs import frozen

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
    upstream
        The upstream that ended; empty if it is not known. An upstream that is
        back has another name.
    """

    request: str
    parts: tuple[str, ...]
    upstream: str = ''


FailuresByUpstream = Mapping[str, Sequence[PromptFailure]]


def by_upstream(failures: Iterable[PromptFailure]) -> FailuresByUpstream:
    """Return failures by the upstream that ended.

    Without its upstream, a failure counts as one at an upstream alone.
    """
    grouped: defaultdict[str, list[PromptFailure]] = defaultdict(list)
    for number, failure in enumerate(failures):
        grouped[failure.upstream or f'unknown {number}'].append(failure)
    return grouped


def shared_parts(failures: Iterable[PromptFailure]) -> Combination:
    """Return the parts that all failures hold; there must be a failure."""
    return frozenset.intersection(
        *(frozenset(failure.parts) for failure in failures)
    )


def harmful_in(
    parts: Sequence[str], combinations: Iterable[Combination]
) -> tuple[Combination, ...]:
    """Return the harmful combinations that a prompt holds."""
    held = frozenset(parts)
    return tuple(
        combination for combination in combinations if combination <= held
    )


def is_harmful(
    parts: Sequence[str], combinations: Iterable[Combination]
) -> bool:
    """Return whether a prompt holds one of the harmful combinations."""
    return bool(harmful_in(parts, combinations))
