"""Readiness of groups, as daemons report it in replies to heartbeats."""

from __future__ import annotations

from attrs import frozen


@frozen
class GroupReadiness:
    """A group that may be sent requests for ``remaining_s`` more seconds."""

    group: str
    remaining_s: float


@frozen
class ReadinessReport:
    """Readiness of the groups that a daemon probes.

    The list of groups is sent once and later named by its number, since it
    changes rarely while the readiness is renewed in each report.

    Parameters
    ----------
    list_number
        Number of the list of groups; zero for an empty list.
    groups
        Names of the groups; empty if the receiver has the list already.
    common_remaining_s
        Time for which the groups may be sent requests, seconds; it holds
        for all groups of the list but the exceptions.
    exceptions
        Groups of the list with a different time.
    """

    list_number: int = 0
    groups: tuple[str, ...] = ()
    common_remaining_s: float = 0
    exceptions: tuple[GroupReadiness, ...] = ()
