"""Causes the faults of a soak and lifts them."""

from __future__ import annotations

import heapq
import time
from collections.abc import Sequence
from typing import Any

from attrs import define, field

from cowslipstep_standins._balancer import Balancer
from cowslipstep_standins._documents import fleet_configuration
from cowslipstep_standins._fleet import LocalFleet
from cowslipstep_standins._soak_faults import (
    Changed,
    CutLink,
    Fault,
    Killed,
    Paused,
    PlatformFault,
    StandinFault,
    Stopped,
)
from cowslipstep_standins._soak_plan import Timed


@define
class DisturbedFleet:  # noqa: WPS214
    """A fleet, the faults at work and the daemons that were killed."""

    fleet: LocalFleet
    active: dict[int, Fault] = field(factory=dict)
    seized: dict[int, str] = field(factory=dict)
    killed_s: list[tuple[str, float]] = field(factory=list)
    exits: list[int] = field(factory=list)

    def run(self, faults: Sequence[Timed]) -> None:
        """Cause faults and lift them, each at its time."""
        began_s = time.monotonic()
        moments = [(one.begins_s, number) for number, one in enumerate(faults)]
        heapq.heapify(moments)
        while moments:
            at_s, number = heapq.heappop(moments)
            time.sleep(max(0, began_s + at_s - time.monotonic()))
            if number in self.active:
                self._lift(number)
            else:
                self._cause(number, faults[number].fault)
                heapq.heappush(moments, (faults[number].ends_s, number))

    def _cause(self, number: int, fault: Fault) -> None:
        self.active[number] = fault
        match fault:
            case Killed(daemon) if self._seize(number, daemon):
                self.fleet.daemon(daemon).kill()
                address = self.fleet.plan.daemon(daemon).http
                self.killed_s.append((address, time.monotonic()))
            case Stopped(daemon) if self._seize(number, daemon):
                self._stop(daemon)
            case Paused(daemon) if self._seize(number, daemon):
                self.fleet.daemon(daemon).freeze()
            case Changed(weight):
                self._submit(weight)
            case _:
                self._set_standins()

    def _lift(self, number: int) -> None:
        match self.active.pop(number):
            case Killed(daemon) | Stopped(daemon) if self._free(number):
                self.fleet.start_daemon(daemon)
            case Paused(daemon) if self._free(number):
                self.fleet.daemon(daemon).thaw()
        self._set_standins()

    def _seize(self, number: int, daemon: str) -> bool:
        """Let a fault have a daemon's process unless another one has it."""
        if daemon in self.seized.values():
            return False
        self.seized[number] = daemon
        return True

    def _free(self, number: int) -> bool:
        """Give a process back; return whether the fault had it."""
        return self.seized.pop(number, '') != ''

    def _stop(self, daemon: str) -> None:
        process = self.fleet.daemon(daemon)
        # One that has not begun to serve may end by the signal itself.
        serving = Balancer(self.fleet).get(daemon, 'readyz') is not None
        status = process.stop()
        if serving:
            self.exits.append(status)

    def _submit(self, weight: int) -> None:
        document = fleet_configuration(self.fleet.plan)
        document['workspaces'][0]['weight'] = weight
        self.fleet.submit(document)

    def _set_standins(self) -> None:
        """Let the stand-ins do what all active faults say together."""
        plan = self.fleet.plan
        hosts = [host.address for host in plan.hosts]
        for standin in (*plan.services, *hosts, plan.platform):
            self.fleet.control(standin, self._wrong(standin))
        self.fleet.control(plan.relay, self._links())

    def _wrong(self, standin: str) -> dict[str, Any]:
        """Return what is wrong with a stand-in now."""
        platform = self.fleet.plan.platform
        wrong: dict[str, Any] = {}
        for fault in self.active.values():
            match fault:
                case PlatformFault(faults) if standin == platform:
                    wrong |= faults
                case StandinFault(address, faults) if standin == address:
                    wrong |= faults
        return wrong

    def _links(self) -> list[Any]:
        return [
            fault.document
            for fault in self.active.values()
            if isinstance(fault, CutLink)
        ]
