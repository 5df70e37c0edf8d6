"""Probes of hosts, one task for each."""

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

from cowslipstep.daemon._health_calls import ask_health, read_health
from cowslipstep.daemon._host_records import HostRecords
from cowslipstep.daemon._tasks import start_task
from cowslipstep.groups import (
    HostRecord,
    HostReport,
    HostState,
    align_delay_s,
    probe_delay_s,
)
from cowslipstep.model import Runner

_PROBE_TIMEOUT_S = 0.5
_MEMBER_PERIOD_S = 0.5
_SPARE_PERIOD_S = 1
_LOADING_PERIOD_S = 0.2
_JITTER = 0.1
_NO_ANSWER = (
    OSError,
    HTTPException,
    urllib3.exceptions.HTTPError,
    ValueError,
    KeyError,
)


class Prober:
    """Asks hosts for their health, one task for each.

    Parameters
    ----------
    book
        Takes what hosts say.
    """

    def __init__(self, book: HostRecords) -> None:
        self._book = book
        self._tasks: dict[Runner, Any] = {}
        self._hosts: frozenset[str] = frozenset()

    @property
    def hosts(self) -> frozenset[str]:
        """Names of the hosts that are probed."""
        return self._hosts

    @property
    def book(self) -> HostRecords:
        """Takes what is learned of hosts otherwise."""
        return self._book

    @property
    def records(self) -> Mapping[str, HostRecord]:
        """What is known of each host that is probed or kept."""
        return self._book.by_host

    def cover(
        self,
        runners: Iterable[Runner],
        kept: Iterable[Runner] = (),
    ) -> None:
        """Probe these runners from now on, and no others.

        The records of the ``kept`` ones stay, for what others find.
        """
        wanted = frozenset(runners)
        for gone in self._tasks.keys() - wanted:
            self._tasks.pop(gone).kill()
        self._hosts = frozenset(runner.host for runner in wanted)
        self._book.keep(self._hosts.union(runner.host for runner in kept))
        for added in wanted - self._tasks.keys():
            task = functools.partial(self._probe_forever, added)
            name = f'probes of {added.host}'
            self._tasks[added] = start_task(name, task)

    def _probe_forever(self, runner: Runner) -> None:
        connection = HTTPConnection(
            runner.address.ip,
            runner.address.port,
            timeout=_PROBE_TIMEOUT_S,
        )
        with contextlib.closing(connection):
            while True:
                self._probe(runner.host, connection)
                eventlet.sleep(_delay_s(self.records[runner.host]))

    def _probe(self, host: str, connection: HTTPConnection) -> None:
        sent_at_s = time.monotonic()
        try:
            report = _ask_health(connection, sent_at_s)
        except (TimeoutError, urllib3.exceptions.TimeoutError):
            self._book.miss(host, refused=False)
        except _NO_ANSWER:
            self._book.miss(host, refused=True)
        else:
            self._book.note(report)


def _ask_health(connection: HTTPConnection, sent_at_s: float) -> HostReport:
    try:
        return read_health(ask_health(connection), sent_at_s)
    except BaseException:
        # An answer that comes late must not be read as the next one.
        connection.close()
        raise


def _delay_s(record: HostRecord) -> float:
    delay_s = probe_delay_s(record, _period_s(record))
    jittered_s = delay_s * random.uniform(1 - _JITTER, 1)
    return align_delay_s(time.monotonic(), jittered_s)


def _period_s(record: HostRecord) -> float:
    if record.report is None or not record.report.group:
        return _SPARE_PERIOD_S
    if record.report.state == HostState.loading:
        return _LOADING_PERIOD_S
    return _MEMBER_PERIOD_S
