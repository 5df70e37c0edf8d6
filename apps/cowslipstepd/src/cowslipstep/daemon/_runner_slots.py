"""Slots on the runners of plain services."""

from __future__ import annotations

import collections
import contextlib
import time
from collections.abc import Iterator

import eventlet
from attrs import define
from eventlet.event import Event

from cowslipstep.daemon._backoffs import Backoffs
from cowslipstep.daemon._run_state import RunState
from cowslipstep.delivery import RunnerLoads
from cowslipstep.model import Address, NotRun, PlainService, Reason

_MAX_WAITING_CALLS = 1000
# A freed slot wakes one waiting call, which may be for another service: each
# waiting call therefore also looks for a free slot after this period.
_RECHECK_PERIOD_S = 1


@define
class HeldRunner:
    """A runner on which a slot is held, and whether the call failed there."""

    address: Address
    failed: bool = False


class RunnerSlots:
    """Assigns calls to slots on the least loaded runner of a service."""

    def __init__(self) -> None:
        self._loads = RunnerLoads(time.monotonic)
        self._waiting: collections.deque[Event] = collections.deque()
        self._backoffs = Backoffs()

    @property
    def backoffs(self) -> Backoffs:
        """Times in which runners want no requests, by address."""
        return self._backoffs

    @contextlib.contextmanager
    def hold_runner(
        self,
        service: PlainService,
        run: RunState,
    ) -> Iterator[HeldRunner | NotRun]:
        """Hold a slot on a runner, or yield the reason why there is none."""
        found = self._choose(service, run)
        if found is None and len(self._waiting) >= _MAX_WAITING_CALLS:
            yield NotRun(Reason.queue_full, retry_after_s=1)
            return
        while found is None and not run.overdue:
            self._wait_for_slot(min(run.remaining_s, _RECHECK_PERIOD_S))
            found = self._choose(service, run)
        match found:
            case None:
                yield NotRun(Reason.deadline, retry_after_s=1)
            case NotRun():
                yield found
            case Address():
                with self._occupied(found) as runner:
                    yield runner

    def _choose(
        self, service: PlainService, run: RunState
    ) -> Address | NotRun | None:
        """Return a runner; ``None`` while those that want requests are full."""
        addresses = {str(address): address for address in service.addresses}
        refusal = self._backoffs.refusal(addresses)
        if refusal is not None:
            return refusal
        wanting = addresses.keys() - self._backoffs.names(addresses)
        attempted = [
            Address.parse(address) for address in run.attempted_upstreams
        ]
        return self._loads.choose(
            [addresses[name] for name in sorted(wanting)],
            service.slots_per_runner,
            attempted,
        )

    def _wait_for_slot(self, timeout_s: float) -> None:
        with (
            self._wait_queue_entry() as slot_freed,
            eventlet.Timeout(timeout_s, exception=False),
        ):
            slot_freed.wait()

    @contextlib.contextmanager
    def _wait_queue_entry(self) -> Iterator[Event]:
        slot_freed = Event()
        self._waiting.append(slot_freed)
        try:
            yield slot_freed
        finally:
            if slot_freed in self._waiting:
                self._waiting.remove(slot_freed)

    @contextlib.contextmanager
    def _occupied(self, address: Address) -> Iterator[HeldRunner]:
        runner = HeldRunner(address)
        self._loads.begin_call(address)
        try:
            yield runner
        finally:
            self._loads.end_call(address, failed=runner.failed)
            if self._waiting:
                self._waiting.popleft().send(None)
