"""Load that goes on while faults are caused."""

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
    """Parallel callers that send idempotent requests until told to end.

    Parameters
    ----------
    addresses
        Daemons, taken in turn.
    tokens
        Tokens of each answer.
    """

    def __init__(self, addresses: list[str], tokens: int) -> None:
        self._addresses = itertools.cycle(addresses)
        self._tokens = tokens
        self._numbers = itertools.count()
        self._load_id = uuid.uuid4().hex
        self._ended = threading.Event()
        self._outcomes: list[Outcome] = []

    @property
    def outcomes(self) -> tuple[Outcome, ...]:
        """What callers saw so far."""
        return tuple(self._outcomes)

    def end(self) -> None:
        """Send no further requests."""
        self._ended.set()

    def run(self) -> None:
        """Send requests, one after the other."""
        caller = Caller()
        while not self._ended.is_set():
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
    """Run callers; at the end their last requests are waited for.

    They call the named daemons, by default all.
    """
    addresses = [
        daemon.http
        for daemon in fleet.plan.daemons
        if not daemons or daemon.name in daemons
    ]
    load = BackgroundLoad(addresses, tokens)
    threads = [threading.Thread(target=load.run) for _ in range(callers)]
    for started in threads:
        started.start()
    try:
        yield load
    finally:
        load.end()
        for thread in threads:
            thread.join()
