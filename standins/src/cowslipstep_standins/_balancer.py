"""A load balancer with callers, for the ready daemons of a local fleet."""

from __future__ import annotations

import re
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import urllib3
from attrs import define, field

from cowslipstep_standins._caller import Caller
from cowslipstep_standins._fleet import LocalFleet
from cowslipstep_standins._outcomes import Call, Outcome

CALLERS = 6
_STREAM_TOKENS = 300
_SHORT_TOKENS = 60
_REQUEST_TIMEOUT_S = 1
_OK = 200


@define
class Balancer:
    """Sends requests to the daemons whose ``/readyz`` succeeds."""

    fleet: LocalFleet
    caller: Caller = field(factory=lambda: Caller(CALLERS))
    outcomes: list[Outcome] = field(factory=list)
    http: urllib3.PoolManager = field(
        factory=lambda: urllib3.PoolManager(retries=False),
    )

    def get(self, name: str, path: str) -> Any:
        """Return the response of one daemon; ``None`` if there is none."""
        address = self.fleet.plan.daemon(name).http
        try:
            return self.http.request(
                'GET', f'http://{address}/{path}', timeout=_REQUEST_TIMEOUT_S
            )
        except urllib3.exceptions.HTTPError:
            return None

    def ready_daemons(self) -> list[str]:
        """Return the names of the ready daemons."""
        names = [plan.name for plan in self.fleet.plan.daemons]
        return [name for name in names if self.is_ready(name)]

    def is_ready(self, name: str) -> bool:
        """Whether a daemon reports that it accepts requests."""
        response = self.get(name, 'readyz')
        return response is not None and response.status == _OK

    def metric(self, name: str, metric: str, label: str = '') -> float:
        """Return a metric of one daemon, summed over its series.

        Only series that contain ``label`` count, if it is given.
        """
        text = self.get(name, 'metrics').data.decode()
        labels = f'{{.*{label}.*}}' if label else '(?:{.*})?'
        lines = re.findall(rf'^cowslipstep_{metric}{labels} (\S+)$', text, re.M)
        return sum(map(float, lines))

    def send_until(self, stop: threading.Event, caller: int) -> None:
        """Send requests one after the other, half of them streamed."""
        number = 0
        while not stop.is_set():
            number += 1
            prompt = f'caller {caller} request {number}'
            call = Call(
                prompt, 'grid-a', tokens=_STREAM_TOKENS, stream=number % 2 == 0
            )
            address = self.choose_address(caller + number)
            self.outcomes.append(self.caller.send(address, call))

    def choose_address(self, turn: int) -> str:
        """Return the address of a ready daemon, round robin by ``turn``."""
        ready_daemons = self.ready_daemons()
        return self.fleet.plan.daemon(
            ready_daemons[turn % len(ready_daemons)]
        ).http

    def run_load(self, seconds: float) -> None:
        """Send requests from parallel callers for some seconds."""
        stop = threading.Event()
        with ThreadPoolExecutor(CALLERS) as pool:
            callers = [
                pool.submit(self.send_until, stop, caller)
                for caller in range(CALLERS)
            ]
            time.sleep(seconds)
            stop.set()
        for caller in callers:
            caller.result()


def _call(prompt: str, *, stream: bool) -> Call:
    tokens = _STREAM_TOKENS if stream else _SHORT_TOKENS
    return Call(prompt, 'grid-a', tokens=tokens, stream=stream)
