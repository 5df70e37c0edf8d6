"""Repetition of commands whose effect does not show."""

from __future__ import annotations

from cowslipstep.fleet._decisions import (
    CloseGroup,
    FleetDecision,
    FormGroup,
    LeaveGroup,
    OpenGroup,
    StageModel,
)
from cowslipstep.fleet._reported_groups import GroupKey

# A command whose effect does not show is repeated after this time.
REPEAT_S = 1


class Repeats:
    """Lets a command pass once in a while."""

    def __init__(self) -> None:
        self._ordered_s: dict[tuple[type, GroupKey, str], float] = {}

    def is_due(self, decision: FleetDecision, now_s: float) -> bool:
        """Say whether a command is due, and note that it is given."""
        match decision:
            case FormGroup() | StageModel():
                return True
            case (
                OpenGroup(key, runner)
                | CloseGroup(key, runner)
                | LeaveGroup(key, runner)
            ):
                decision_key = (type(decision), key, runner.name)
        if now_s - self._ordered_s.get(decision_key, -REPEAT_S) < REPEAT_S:
            return False
        self._ordered_s[decision_key] = now_s
        return True
