"""Slots on the runners of plain services."""

from __future__ import annotations

import collections
import contextlib
import time
from collections.abc import Iterator

import eventlet
from attrs import define
from eventlet.event import Event

from cowslipstep.daemon._run_state import RunState
from cowslipstep.delivery import RunnerLoads
from cowslipstep.model import Address, NotRun, PlainService, Reason

_MAX_WAITING = 1000
_RECHECK_S = 1


@define
class HeldRunner:
    """A runner with room for a call, and whether the call failed there."""

    address: Address
    failed: bool = False


class RunnerSlots:
    """Gives slots on the least loaded runner of a service."""

    def __init__(self) -> None:
        self._loads = RunnerLoads(time.monotonic)
        self._waiting: collections.deque[Event] = collections.deque()

    @contextlib.contextmanager
    def runner(
        self,
        service: PlainService,
        run: RunState,
    ) -> Iterator[HeldRunner | NotRun]:
        """Hold a slot on a runner, or learn why there is none."""
        chosen = self._choose(service, run)
        if chosen is None and len(self._waiting) >= _MAX_WAITING:
            yield NotRun(Reason.queue_full, retry_after_s=1)
            return
        while chosen is None and not run.overdue:
            self._wait(min(run.remaining_s, _RECHECK_S))
            chosen = self._choose(service, run)
        if chosen is None:
            yield NotRun(Reason.deadline, retry_after_s=1)
            return
        with self._held(chosen) as held:
            yield held

    def _choose(self, service: PlainService, run: RunState) -> Address | None:
        avoid = [Address.parse(tried) for tried in run.avoid]
        slots = service.slots_per_runner
        return self._loads.choose(service.addresses, slots, avoid)

    def _wait(self, timeout_s: float) -> None:
        with (
            self._queued() as freed,
            eventlet.Timeout(timeout_s, exception=False),
        ):
            freed.wait()

    @contextlib.contextmanager
    def _queued(self) -> Iterator[Event]:
        freed = Event()
        self._waiting.append(freed)
        try:
            yield freed
        finally:
            if freed in self._waiting:
                self._waiting.remove(freed)

    @contextlib.contextmanager
    def _held(self, address: Address) -> Iterator[HeldRunner]:
        held = HeldRunner(address)
        self._loads.begin_call(address)
        try:
            yield held
        finally:
            self._loads.end_call(address, failed=held.failed)
            if self._waiting:
                self._waiting.popleft().send(None)
