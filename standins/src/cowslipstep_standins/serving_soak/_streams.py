"""Callers of streams, and what was wrong with what they got."""

from __future__ import annotations

import contextlib
import itertools
import time
from http.client import HTTPConnection, HTTPException, IncompleteRead

import eventlet
from attrs import define, field

from cowslipstep_standins.serving_soak._plain_requests import ID_HEADER
from cowslipstep_standins.serving_soak._runner_api import whole_body
from cowslipstep_standins.serving_soak._soaked_daemon import SoakedDaemon
from cowslipstep_standins.serving_soak._soaked_fleet import SoakedFleet
from cowslipstep_standins.serving_soak._plain_settings import (
    HOST,
    LOOPBACK,
    PATH,
)

_TIMEOUT_S = 12
# Of each daemon.
_CALLERS = 2
_PAUSE_S = 0.1
_OK = 200


@define
class StreamLoad:
    """Callers that send one request after the other.

    Attributes
    ----------
    whole
        Number of complete streams.
    cut
        Streams that were closed without an end although all events had come.
    mixed
        Streams whose events are not those of the request in their order.
    """

    fleet: SoakedFleet
    whole: int = 0
    cut: list[str] = field(factory=list)
    mixed: list[str] = field(factory=list)
    _numbers: itertools.count[int] = field(factory=itertools.count)

    def start(self) -> None:
        """Start the callers of each daemon."""
        for daemon in self.fleet.daemons * _CALLERS:
            eventlet.spawn(self.run, daemon)

    def run(self, daemon: SoakedDaemon) -> None:
        """Send requests to a daemon until the task is ended."""
        while True:
            request_id = f'r{next(self._numbers)}'
            with contextlib.suppress(OSError, HTTPException):
                self._send(daemon, request_id)
            eventlet.sleep(_PAUSE_S)

    def _send(self, daemon: SoakedDaemon, request_id: str) -> None:
        sent_s = time.monotonic()
        body, is_whole = _exchange(daemon.port, request_id)
        expected = whole_body(request_id)
        self.whole += is_whole
        if not expected.startswith(body) or (is_whole and body != expected):
            self.mixed.append(request_id)
        has_ended = any(ended_s > sent_s for ended_s in daemon.ended_s)
        if body == expected and not is_whole and not has_ended:
            self.cut.append(request_id)


def _exchange(port: int, request_id: str) -> tuple[bytes, bool]:
    """Return the body of a stream, and whether its end has come."""
    connection = HTTPConnection(LOOPBACK, port, timeout=_TIMEOUT_S)
    with contextlib.closing(connection):
        headers = {ID_HEADER: request_id, 'Host': HOST}
        connection.request('POST', f'{PATH}a', b'{}', headers)
        response = connection.getresponse()
        try:
            body = response.read()
        except IncompleteRead as cut:
            return cut.partial, False
    if response.status == _OK:
        return body, True
    return b'', False
