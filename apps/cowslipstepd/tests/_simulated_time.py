"""Simulated time for green threads that sleep."""

from __future__ import annotations

from cowslipstep_standins.takeovers import _simulated_time

STEP_S = _simulated_time.STEP_S
SimulatedTime = _simulated_time.SimulatedTime
