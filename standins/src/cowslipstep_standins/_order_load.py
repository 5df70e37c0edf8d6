"""A load of orders, each sent to all daemons with the same key."""

from __future__ import annotations

import collections
import contextlib
import itertools
import threading
import time
import uuid
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

from attrs import evolve

from cowslipstep_standins._caller import Caller
from cowslipstep_standins._fleet import LocalFleet
from cowslipstep_standins._outcomes import Call, Outcome

_ORDER_INTERVAL_S = 0.05
_FIRST_SEND_LEAD_S = 0.01


class OrderLoad:
    """Sends each order to all daemons with the same idempotency key.

    Half of the orders are sent to all daemons at the same time, marked as
    repeated. For the others one daemon, each in turn, receives the order
    10 ms ahead as attempt 1; the others receive it as attempt 2.

    Parameters
    ----------
    fleet
        Fleet whose daemons receive the orders.
    """

    def __init__(self, fleet: LocalFleet) -> None:
        self._addresses = [daemon.http for daemon in fleet.plan.daemons]
        self._stop = threading.Event()
        self._outcomes: list[Outcome] = []

    @property
    def outcomes(self) -> tuple[Outcome, ...]:
        """Outcomes of all sends that have ended so far."""
        return tuple(self._outcomes)

    def end(self) -> None:
        """Stop sending; the last order still completes."""
        self._stop.set()

    def run(self) -> None:
        """Send orders one after the other until the load is ended."""
        caller = Caller()
        with ThreadPoolExecutor(len(self._addresses)) as pool:
            for number in itertools.count():
                key = str(uuid.uuid4())
                call = Call(f'order {key}', 'grid-a', key=key, service=True)
                if number % 2:
                    self._send_first_ahead(caller, pool, call, number)
                else:
                    self._send_concurrently(caller, pool, call)
                if self._stop.wait(_ORDER_INTERVAL_S):
                    return

    def _send_concurrently(
        self,
        caller: Caller,
        pool: ThreadPoolExecutor,
        call: Call,
    ) -> None:
        repeated = evolve(call, attempt=2)
        calls = itertools.repeat(repeated)
        self._outcomes.extend(pool.map(caller.send, self._addresses, calls))

    def _send_first_ahead(
        self,
        caller: Caller,
        pool: ThreadPoolExecutor,
        call: Call,
        number: int,
    ) -> None:
        addresses = collections.deque(self._addresses)
        addresses.rotate(number)
        sent = [pool.submit(caller.send, addresses.popleft(), call)]
        time.sleep(_FIRST_SEND_LEAD_S)
        repeated = evolve(call, attempt=2)
        sent.extend(
            pool.submit(caller.send, address, repeated) for address in addresses
        )
        self._outcomes.extend(future.result() for future in sent)


@contextlib.contextmanager
def order_load(fleet: LocalFleet) -> Iterator[OrderLoad]:
    """Send orders in a thread; on exit wait for the last one."""
    load = OrderLoad(fleet)
    thread = threading.Thread(target=load.run)
    thread.start()
    try:
        yield load
    finally:
        load.end()
        thread.join()
