"""Deviation of the usage of a workspace from its limits."""

from __future__ import annotations

from collections.abc import Iterable

from _limit_cases import TRACE_END_S

from cowslipstep.replay import Outcome

MAX_TOKENS_PER_S = 2500
MAX_IN_PROGRESS = 10
_FIRST_WINDOW_AT_S = 20
_ERROR_WINDOW_S = 20


def token_rate_error(outcomes: list[Outcome]) -> float:
    """Return the largest error in tokens a second, relative to the limit."""
    return max(
        abs(_token_rate_from(outcomes, start_s) / MAX_TOKENS_PER_S - 1)
        for start_s in range(_FIRST_WINDOW_AT_S, TRACE_END_S, _ERROR_WINDOW_S)
    )


def _token_rate_from(outcomes: Iterable[Outcome], start_s: int) -> float:
    end_s = start_s + _ERROR_WINDOW_S
    started = (
        outcome.tokens
        for outcome in outcomes
        if start_s <= outcome.started_s < end_s
    )
    return sum(started) / _ERROR_WINDOW_S


def in_progress_error(outcomes: list[Outcome]) -> float:
    """Return the largest error in requests in progress.

    The error is relative to the limit.
    """
    return max(
        abs(_mean_in_progress_from(outcomes, start_s) / MAX_IN_PROGRESS - 1)
        for start_s in range(_FIRST_WINDOW_AT_S, TRACE_END_S, _ERROR_WINDOW_S)
    )


def _mean_in_progress_from(outcomes: Iterable[Outcome], start_s: int) -> float:
    end_s = start_s + _ERROR_WINDOW_S
    overlaps_s = (_overlap_s(outcome, start_s, end_s) for outcome in outcomes)
    return sum(overlaps_s) / _ERROR_WINDOW_S


def _overlap_s(outcome: Outcome, start_s: int, end_s: int) -> float:
    began_s = max(outcome.arrival.arrival_s, start_s)
    return max(0, min(outcome.ended_s, end_s) - began_s)
