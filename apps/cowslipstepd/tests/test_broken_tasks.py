"""A daemon is ready only while the tasks that serving needs run."""

from __future__ import annotations

import eventlet
import pytest
from _green_processes import in_green_process
from _scripted_runners import ScriptedRunners
from _serving_harness import Harness

# Failures of a task until it counts as broken take two restarts.
BROKEN_AFTER_S = 4


def fail() -> None:
    raise ValueError('the task cannot run')


def readiness(essential: bool) -> tuple[bool, bool]:
    """Return whether a daemon is ready before and after a task fails."""
    runners = ScriptedRunners(1, ())
    state = Harness(runners, runners).state
    before = state.is_ready
    state.process.tasks.start('failing task', fail, essential=essential)
    eventlet.sleep(BROKEN_AFTER_S)
    return before, state.is_ready


# Nothing that readiness asked for showed that a task had ended.
@pytest.mark.parametrize('essential', [True, False])
def test_daemon_is_ready_without_broken_tasks(essential: bool) -> None:
    assert in_green_process(readiness, essential) == (True, not essential)
