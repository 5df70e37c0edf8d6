"""Faults that a soak causes from outside the processes."""

from __future__ import annotations

from typing import Any

from attrs import frozen

_SLOWED_S = 0.2


@frozen
class Killed:
    """A daemon is killed, and started again later."""

    daemon: str


@frozen
class Stopped:
    """A daemon is told to end, and started again later."""

    daemon: str


@frozen
class Paused:
    """A daemon stands still for a while."""

    daemon: str


@frozen
class CutLink:
    """One direction between two processes is slow, silent or closed."""

    source: str
    target: str
    rule: str

    @property
    def document(self) -> dict[str, Any]:
        """The rule as the relay takes it."""
        return {
            'source': self.source,
            'target': self.target,
            'rule': self.rule,
            'delay_s': _SLOWED_S,
        }


@frozen
class PlatformFault:
    """The platform is down, slow or loses answers."""

    faults: dict[str, Any]


@frozen
class StandinFault:
    """The engine of a host, or a plain service, does wrong."""

    address: str
    faults: dict[str, Any]


@frozen
class Changed:
    """A new configuration is submitted."""

    weight: int


Fault = (
    Killed | Stopped | Paused | CutLink | PlatformFault | StandinFault | Changed
)
