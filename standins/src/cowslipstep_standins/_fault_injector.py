"""Injects the faults of a soak and ends them on schedule."""

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
    DisturbLink,
    Fault,
    KillDaemon,
    PauseDaemon,
    PlatformFault,
    StandinFault,
    StopDaemon,
    SubmitConfiguration,
)
from cowslipstep_standins._soak_schedule import ScheduledFault


@define
class FaultInjector:  # noqa: WPS214
    """Injects faults into a fleet and records kills and exit statuses.

    Attributes
    ----------
    active
        Faults that have begun and not ended, by their number.
    claimed_daemons
        Daemon whose process a fault has killed, stopped or paused, by the
        number of the fault.
    kills
        Address of each killed daemon, and when it was killed (monotonic).
    exits
        Exit statuses of the daemons that were stopped while serving.
    """

    fleet: LocalFleet
    active: dict[int, Fault] = field(factory=dict)
    claimed_daemons: dict[int, str] = field(factory=dict)
    kills: list[tuple[str, float]] = field(factory=list)
    exits: list[int] = field(factory=list)

    def run(self, faults: Sequence[ScheduledFault]) -> None:
        """Begin and end each fault at its scheduled time."""
        started_s = time.monotonic()
        due_times = [
            (fault.begins_s, number) for number, fault in enumerate(faults)
        ]
        heapq.heapify(due_times)
        while due_times:
            at_s, number = heapq.heappop(due_times)
            time.sleep(max(0, started_s + at_s - time.monotonic()))
            if number in self.active:
                self._end_fault(number)
            else:
                self._begin_fault(number, faults[number].fault)
                heapq.heappush(due_times, (faults[number].ends_s, number))

    def _begin_fault(self, number: int, fault: Fault) -> None:
        self.active[number] = fault
        match fault:
            case KillDaemon(daemon) if self._claim_process(number, daemon):
                self.fleet.daemon(daemon).kill()
                address = self.fleet.plan.daemon(daemon).http
                self.kills.append((address, time.monotonic()))
            case StopDaemon(daemon) if self._claim_process(number, daemon):
                self._stop(daemon)
            case PauseDaemon(daemon) if self._claim_process(number, daemon):
                self.fleet.daemon(daemon).pause()
            case SubmitConfiguration(weight):
                self._submit(weight)
            case _:
                self._apply_faults()

    def _end_fault(self, number: int) -> None:
        match self.active.pop(number):
            case KillDaemon(daemon) | StopDaemon(daemon) if (
                self._release_process(number)
            ):
                self.fleet.start_daemon(daemon)
            case PauseDaemon(daemon) if self._release_process(number):
                self.fleet.daemon(daemon).resume()
        self._apply_faults()

    def _claim_process(self, number: int, daemon: str) -> bool:
        """Reserve a daemon's process for a fault, if no other fault has it."""
        if daemon in self.claimed_daemons.values():
            return False
        self.claimed_daemons[number] = daemon
        return True

    def _release_process(self, number: int) -> bool:
        """Release the process of a fault; return whether it had one."""
        return self.claimed_daemons.pop(number, '') != ''

    def _stop(self, daemon: str) -> None:
        process = self.fleet.daemon(daemon)
        # A daemon that does not serve yet may have no signal handler: SIGTERM
        # then ends it with a non-zero status, which is no violation.
        serving = Balancer(self.fleet).get(daemon, 'readyz') is not None
        status = process.stop()
        if serving:
            self.exits.append(status)

    def _submit(self, weight: int) -> None:
        document = fleet_configuration(self.fleet.plan)
        document['workspaces'][0]['weight'] = weight
        self.fleet.submit(document)

    def _apply_faults(self) -> None:
        """Set the union of all active faults on the stand-ins and relays."""
        plan = self.fleet.plan
        hosts = [host.address for host in plan.hosts]
        for standin in (*plan.services, *hosts, plan.platform):
            self.fleet.control(standin, self._combined_faults(standin))
        self.fleet.control(plan.relay, self._links())

    def _combined_faults(self, standin: str) -> dict[str, Any]:
        """Return the union of the active faults of one stand-in."""
        platform = self.fleet.plan.platform
        combined: dict[str, Any] = {}
        for fault in self.active.values():
            match fault:
                case PlatformFault(faults) if standin == platform:
                    combined |= faults
                case StandinFault(address, faults) if standin == address:
                    combined |= faults
        return combined

    def _links(self) -> list[Any]:
        return [
            fault.document
            for fault in self.active.values()
            if isinstance(fault, DisturbLink)
        ]
