"""How far the use of a workspace is from its limits."""

from __future__ import annotations

from collections.abc import Iterable

from _limit_cases import END_S

from cowslipstep.replay import Outcome

TOKENS_PER_S = 2500
IN_PROGRESS = 10
_START_S = 20
_WINDOW_S = 20


def tokens_error(runs: list[Outcome]) -> float:
    """Return the largest error in tokens a second, in limits."""
    return max(
        abs(_tokens_from(runs, start_s) / TOKENS_PER_S - 1)
        for start_s in range(_START_S, END_S, _WINDOW_S)
    )


def _tokens_from(runs: Iterable[Outcome], start_s: int) -> float:
    end_s = start_s + _WINDOW_S
    started = (run.tokens for run in runs if start_s <= run.started_s < end_s)
    return sum(started) / _WINDOW_S


def in_progress_error(runs: list[Outcome]) -> float:
    """Return the largest error in requests in progress, in limits."""
    return max(
        abs(_in_progress_from(runs, start_s) / IN_PROGRESS - 1)
        for start_s in range(_START_S, END_S, _WINDOW_S)
    )


def _in_progress_from(runs: Iterable[Outcome], start_s: int) -> float:
    end_s = start_s + _WINDOW_S
    held_s = (_overlap_s(run, start_s, end_s) for run in runs)
    return sum(held_s) / _WINDOW_S


def _overlap_s(run: Outcome, start_s: int, end_s: int) -> float:
    begun_s = max(run.arrival.arrival_s, start_s)
    return max(0, min(run.ended_s, end_s) - begun_s)
