"""Events of groups, kept for the report and logged."""

from __future__ import annotations

from cowslipstep.daemon._state import DaemonState


def note_event(
    state: DaemonState,
    kind: str,
    subject: str,
    cause: str,
) -> None:
    """Keep an event; the event log also writes a line for it."""
    state.events.add(kind, subject, cause)
