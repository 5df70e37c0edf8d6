"""Limits how often the same decision is repeated."""

from __future__ import annotations

from cowslipstep.fleet._decisions import (
    CloseGroup,
    FleetDecision,
    FormGroup,
    LeaveGroup,
    OpenGroup,
    StageModel,
)
from cowslipstep.fleet._runners import GroupId

# A decision whose effect does not show in the reports is repeated after this
# time, since its command may be lost.
REPEAT_INTERVAL_S = 1


class RepeatLimiter:
    """Admits the same decision once in each repeat interval.

    Decisions to form a group or to stage a model always pass; their own
    trackers prevent repetition.
    """

    def __init__(self) -> None:
        self._admitted_s: dict[tuple[type, GroupId, str], float] = {}

    def admit(self, decision: FleetDecision, now_s: float) -> bool:
        """Return whether a decision is due, and record when it was admitted."""
        match decision:
            case FormGroup() | StageModel():
                return True
            case (
                OpenGroup(key, runner)
                | CloseGroup(key, runner)
                | LeaveGroup(key, runner)
            ):
                decision_key = (type(decision), key, runner.name)
        if (
            now_s - self._admitted_s.get(decision_key, -REPEAT_INTERVAL_S)
            < REPEAT_INTERVAL_S
        ):
            return False
        self._admitted_s[decision_key] = now_s
        return True
