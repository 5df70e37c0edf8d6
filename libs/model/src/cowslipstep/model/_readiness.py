"""Readiness of groups as sent between daemons."""

from __future__ import annotations

from attrs import frozen


@frozen
class GroupReadiness:
    """A group that may serve for ``remaining_s`` more seconds."""

    group: str
    remaining_s: float


@frozen
class ReadinessReport:
    """Readiness of the groups that a daemon probes, as changes.

    Parameters
    ----------
    table
        Number of the list of groups that the report is about; zero for an
        empty list.
    groups
        Names of the list; empty if the receiver holds it already.
    renewed_s
        How long all groups of the list may serve, but the exceptions.
    exceptions
        Groups of the list that may serve for another time.
    """

    list_number: int = 0
    groups: tuple[str, ...] = ()
    common_remaining_s: float = 0
    exceptions: tuple[GroupReadiness, ...] = ()
