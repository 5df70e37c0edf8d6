"""Orders that are sent again through several daemons at once."""

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

_PAUSE_S = 0.05
_LEAD_S = 0.01


class OrderLoad:
    """Sends each order through all daemons.

    Half of the orders are sent to all at once. Of the others one send goes
    first, through each daemon in turn, and says that it is the first.

    Parameters
    ----------
    fleet
        Its daemons and its service are used.
    """

    def __init__(self, fleet: LocalFleet) -> None:
        self._addresses = [daemon.http for daemon in fleet.plan.daemons]
        self._ended = threading.Event()
        self._outcomes: list[Outcome] = []

    @property
    def outcomes(self) -> tuple[Outcome, ...]:
        """What callers saw so far."""
        return tuple(self._outcomes)

    def end(self) -> None:
        """Send no further orders."""
        self._ended.set()

    def run(self) -> None:
        """Send one order after the other."""
        caller = Caller()
        with ThreadPoolExecutor(len(self._addresses)) as pool:
            for number in itertools.count():
                key = str(uuid.uuid4())
                call = Call(f'order {key}', 'grid-a', key=key, service=True)
                if number % 2:
                    self._send_first_alone(caller, pool, call, number)
                else:
                    self._send_at_once(caller, pool, call)
                if self._ended.wait(_PAUSE_S):
                    return

    def _send_at_once(
        self,
        caller: Caller,
        pool: ThreadPoolExecutor,
        call: Call,
    ) -> None:
        again = evolve(call, attempt=2)
        calls = itertools.repeat(again)
        self._outcomes.extend(pool.map(caller.send, self._addresses, calls))

    def _send_first_alone(
        self,
        caller: Caller,
        pool: ThreadPoolExecutor,
        call: Call,
        number: int,
    ) -> None:
        addresses = collections.deque(self._addresses)
        addresses.rotate(number)
        sent = [pool.submit(caller.send, addresses.popleft(), call)]
        time.sleep(_LEAD_S)
        again = evolve(call, attempt=2)
        sent.extend(
            pool.submit(caller.send, address, again) for address in addresses
        )
        self._outcomes.extend(future.result() for future in sent)


@contextlib.contextmanager
def order_load(fleet: LocalFleet) -> Iterator[OrderLoad]:
    """Send orders in a thread; at the end the last one is waited for."""
    load = OrderLoad(fleet)
    thread = threading.Thread(target=load.run)
    thread.start()
    try:
        yield load
    finally:
        load.end()
        thread.join()
