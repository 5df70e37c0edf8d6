"""Health probes of hosts, in one task for each host."""

from __future__ import annotations

import contextlib
import functools
import random
import time
from collections.abc import Iterable, Mapping
from http.client import HTTPException
from typing import Any

import eventlet
import urllib3
from urllib3.connection import HTTPConnection

from cowslipstep.daemon._health_calls import request_health, parse_health
from cowslipstep.daemon._tasks import start_task
from cowslipstep.groups import (
    HostRecord,
    HostReport,
    HostState,
    align_delay_s,
    probe_delay_s,
    record_miss,
    record_report,
)
from cowslipstep.model import Runner
from cowslipstep.platform import CheckedConnection

_PROBE_TIMEOUT_S = 0.5
_MEMBER_PROBE_PERIOD_S = 0.5
_SPARE_PROBE_PERIOD_S = 1
_LOADING_PROBE_PERIOD_S = 0.2
_DELAY_JITTER_SHARE = 0.1
_PROBE_ERRORS = (
    OSError,
    HTTPException,
    urllib3.exceptions.HTTPError,
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
)


class Prober:
    """Probes the health of hosts and keeps a record of each."""

    def __init__(self) -> None:
        self._records: dict[str, HostRecord] = {}
        self._tasks: dict[Runner, Any] = {}

    @property
    def records(self) -> Mapping[str, HostRecord]:
        """Records of the probed hosts, by name of the host."""
        return self._records

    def probe_only(self, runners: Iterable[Runner]) -> None:
        """Probe the hosts of these runners from now on, and no others."""
        runners_now = frozenset(runners)
        for runner in self._tasks.keys() - runners_now:
            self._tasks.pop(runner).kill()
            self._records.pop(runner.host, None)
        for added in runners_now - self._tasks.keys():
            self._records[added.host] = HostRecord()
            task = functools.partial(self._probe_forever, added)
            name = f'probes of {added.host}'
            self._tasks[added] = start_task(name, task)

    def record(self, report: HostReport) -> None:
        """Update the record of a host with its report."""
        record = self._records.get(report.host)
        if record is not None:
            self._records[report.host] = record_report(record, report)

    def _probe_forever(self, runner: Runner) -> None:
        connection = CheckedConnection(
            runner.address.ip,
            runner.address.port,
            timeout=_PROBE_TIMEOUT_S,
        )
        with contextlib.closing(connection):
            while True:
                self._probe(runner, connection)
                eventlet.sleep(_delay_s(self._records[runner.host]))

    def _probe(self, runner: Runner, connection: HTTPConnection) -> None:
        sent_at_s = time.monotonic()
        try:
            report = _request_report(connection, sent_at_s)
        except (TimeoutError, urllib3.exceptions.TimeoutError):
            self._record_miss(runner, refused=False)
        except _PROBE_ERRORS:
            self._record_miss(runner, refused=True)
        else:
            self.record(report)

    def _record_miss(self, runner: Runner, *, refused: bool) -> None:
        record = self._records[runner.host]
        self._records[runner.host] = record_miss(record, refused=refused)


def _request_report(connection: HTTPConnection, sent_at_s: float) -> HostReport:
    try:
        return parse_health(request_health(connection), sent_at_s)
    except BaseException:
        # A late response must not be read as that of the next probe.
        connection.close()
        raise


def _delay_s(record: HostRecord) -> float:
    delay_s = probe_delay_s(record, _period_s(record))
    jittered_s = delay_s * random.uniform(1 - _DELAY_JITTER_SHARE, 1)
    return align_delay_s(time.monotonic(), jittered_s)


def _period_s(record: HostRecord) -> float:
    if record.report is None or not record.report.group:
        return _SPARE_PROBE_PERIOD_S
    if record.report.state == HostState.loading:
        return _LOADING_PROBE_PERIOD_S
    return _MEMBER_PROBE_PERIOD_S
