"""A balancer with callers: requests go to the daemons that are ready."""

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
_TIMEOUT_S = 1
_OK = 200


@define
class Balancer:
    """Sends requests to the daemons that say they are ready."""

    fleet: LocalFleet
    caller: Caller = field(factory=lambda: Caller(CALLERS))
    outcomes: list[Outcome] = field(factory=list)
    http: urllib3.PoolManager = field(
        factory=lambda: urllib3.PoolManager(retries=False),
    )

    def get(self, name: str, path: str) -> Any:
        """Answer of one daemon, or nothing if it gives none."""
        address = self.fleet.plan.daemon(name).http
        try:
            return self.http.request(
                'GET', f'http://{address}/{path}', timeout=_TIMEOUT_S
            )
        except urllib3.exceptions.HTTPError:
            return None

    def ready(self) -> list[str]:
        """Names of the ready daemons."""
        names = [plan.name for plan in self.fleet.plan.daemons]
        return [name for name in names if self.is_ready(name)]

    def is_ready(self, name: str) -> bool:
        """Whether a daemon takes requests."""
        answer = self.get(name, 'readyz')
        return answer is not None and answer.status == _OK

    def metric(self, name: str, metric: str, label: str = '') -> float:
        """A figure of one daemon's metrics, summed over labels.

        Only series with the label, if one is given.
        """
        text = self.get(name, 'metrics').data.decode()
        labels = f'{{.*{label}.*}}' if label else '(?:{.*})?'
        lines = re.findall(rf'^cowslipstep_{metric}{labels} (\S+)$', text, re.M)
        return sum(map(float, lines))

    def send_until(self, stop: threading.Event, caller: int) -> None:
        """Send one request after the other, half of them streams."""
        number = 0
        while not stop.is_set():
            number += 1
            prompt = f'caller {caller} request {number}'
            call = Call(
                prompt, 'grid-a', tokens=_STREAM_TOKENS, stream=number % 2 == 0
            )
            address = self.choose(caller + number)
            self.outcomes.append(self.caller.send(address, call))

    def choose(self, turn: int) -> str:
        """Address of one of the ready daemons."""
        ready = self.ready()
        return self.fleet.plan.daemon(ready[turn % len(ready)]).http

    def load(self, seconds: float) -> None:
        """Keep callers busy for a while."""
        stop = threading.Event()
        with ThreadPoolExecutor(CALLERS) as pool:
            callers = [
                pool.submit(self.send_until, stop, caller)
                for caller in range(CALLERS)
            ]
            time.sleep(seconds)
            stop.set()
        for ended in callers:
            ended.result()


def _call(prompt: str, *, stream: bool) -> Call:
    tokens = _STREAM_TOKENS if stream else _SHORT_TOKENS
    return Call(prompt, 'grid-a', tokens=tokens, stream=stream)
