"""Faults that a soak injects into processes, links and stand-ins."""

from __future__ import annotations

from typing import Any

from attrs import frozen

_LINK_DELAY_S = 0.2


@frozen
class KillDaemon:
    """Kill a daemon, and start it again at the end of the fault."""

    daemon: str


@frozen
class StopDaemon:
    """Stop a daemon by SIGTERM, and start it again at the end of the fault."""

    daemon: str


@frozen
class PauseDaemon:
    """Suspend the process of a daemon."""

    daemon: str


@frozen
class DisturbLink:
    """Delay, block or sever one direction between two processes."""

    source: str
    target: str
    rule: str

    @property
    def document(self) -> dict[str, Any]:
        """The rule as a JSON object for the relay."""
        return {
            'source': self.source,
            'target': self.target,
            'rule': self.rule,
            'delay_s': _LINK_DELAY_S,
        }


@frozen
class PlatformFault:
    """Set the faults of the platform: outage, delay or lost responses."""

    faults: dict[str, Any]


@frozen
class StandinFault:
    """Set the faults of an engine host or of a plain service."""

    address: str
    faults: dict[str, Any]


@frozen
class SubmitConfiguration:
    """Submit a configuration with another weight of the first workspace."""

    weight: int


Fault = (
    KillDaemon
    | StopDaemon
    | PauseDaemon
    | DisturbLink
    | PlatformFault
    | StandinFault
    | SubmitConfiguration
)
