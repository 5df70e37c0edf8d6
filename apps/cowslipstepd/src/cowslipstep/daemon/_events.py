"""Events of groups, kept for the report and logged."""

from __future__ import annotations

from loguru import logger

from cowslipstep.daemon._state import DaemonState


def note_event(
    state: DaemonState,
    kind: str,
    subject: str,
    cause: str,
) -> None:
    """Keep an event and write a log line with its cause."""
    state.events.add(kind, subject, cause)
    logger.bind(event=kind, subject=subject, cause=cause).info(
        '{} {}: {}',
        kind,
        subject,
        cause,
    )
