"""Background load from parallel callers while faults are injected."""

from __future__ import annotations

import contextlib
import itertools
import threading
import uuid
from collections.abc import Iterator, Sequence

from cowslipstep_standins._caller import Caller
from cowslipstep_standins._fleet import LocalFleet
from cowslipstep_standins._outcomes import Call, Outcome


class BackgroundLoad:
    """Parallel callers that send idempotent requests until stopped.

    Parameters
    ----------
    addresses
        Addresses of the daemons, used in turn.
    tokens
        Number of tokens in each response.
    """

    def __init__(self, addresses: list[str], tokens: int) -> None:
        self._addresses = itertools.cycle(addresses)
        self._tokens = tokens
        self._numbers = itertools.count()
        self._load_id = uuid.uuid4().hex
        self._stop = threading.Event()
        self._outcomes: list[Outcome] = []

    @property
    def outcomes(self) -> tuple[Outcome, ...]:
        """Outcomes of all requests that have ended so far."""
        return tuple(self._outcomes)

    def end(self) -> None:
        """Stop sending; requests in flight still complete."""
        self._stop.set()

    def run(self) -> None:
        """Send requests one after the other until the load is ended."""
        caller = Caller()
        while not self._stop.is_set():
            number = next(self._numbers)
            call = Call(
                f'background {number} of {self._load_id}',
                'grid-a',
                tokens=self._tokens,
                stream=bool(number % 2),
            )
            self._outcomes.append(caller.send(next(self._addresses), call))


@contextlib.contextmanager
def background_load(
    fleet: LocalFleet,
    callers: int = 4,
    tokens: int = 40,
    daemons: Sequence[str] = (),
) -> Iterator[BackgroundLoad]:
    """Run callers in threads; on exit wait for their last requests.

    The callers use the named daemons, by default all of the fleet.
    """
    addresses = [
        daemon.http
        for daemon in fleet.plan.daemons
        if not daemons or daemon.name in daemons
    ]
    load = BackgroundLoad(addresses, tokens)
    threads = [threading.Thread(target=load.run) for _ in range(callers)]
    for thread in threads:
        thread.start()
    try:
        yield load
    finally:
        load.end()
        for thread in threads:
            thread.join()
