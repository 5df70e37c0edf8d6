"""Hosts that are leaving and drains that operators ask for."""

from __future__ import annotations

import contextlib
import enum
import json
import time
from collections.abc import Iterator

from attrs import evolve, frozen
from loguru import logger

from cowslipstep.daemon._state import DaemonState
from cowslipstep.model import CowslipstepError
from cowslipstep.platform import HostList, StoredObject, read_host_list
from cowslipstep.settings import parse_json, structure, unstructure

_DRAIN_KIND = 'drain'
_REPORT_PERIOD_S = 3


class DrainState(enum.StrEnum):
    """Progress of a drain."""

    asked = 'asked'
    draining = 'draining'
    drained = 'drained'


@frozen
class Drain:
    """An operator's wish that a host or a group takes no new work.

    Parameters
    ----------
    target
        Name of the host or group.
    kind
        ``host`` or ``group``.
    state
        Progress, set by the keeper.
    remaining
        Requests that are still in progress, set by the keeper.
    at_unix_s
        When ``state`` or ``remaining`` was set; only for display.
    """

    target: str
    kind: str = 'host'
    state: DrainState = DrainState.asked
    remaining: int = 0
    at_unix_s: float = 0


@frozen
class StoredDrain:
    """A drain and the object that holds it."""

    drain: Drain
    stored: StoredObject


class DrainTargets:
    """Reads which hosts leave; keeps the last answer through an outage.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: DaemonState) -> None:
        self._state = state
        self._hosts = HostList()
        self._drains: tuple[StoredDrain, ...] = ()

    @property
    def names(self) -> frozenset[str]:
        """Hosts and groups that take no new work."""
        targets = {entry.drain.target for entry in self._drains}
        return self._hosts.leaving | targets

    @property
    def drains(self) -> tuple[StoredDrain, ...]:
        """Drains that operators ask for."""
        return self._drains

    def read(self) -> None:
        """Read the platform's list of hosts and the operators' drains."""
        try:
            self._read_both()
        except CowslipstepError as error:
            logger.debug('leaving hosts not read: {}', error)

    def report(
        self,
        entry: StoredDrain,
        state: DrainState,
        remaining: int = 0,
    ) -> None:
        """Write the progress of a drain where the operator reads it."""
        progress = evolve(
            entry.drain,
            state=state,
            remaining=remaining,
            at_unix_s=time.time(),
        )
        if not _is_news(progress, entry.drain):
            return
        stored = entry.stored
        body = json.dumps(unstructure(progress))
        with contextlib.suppress(CowslipstepError):
            self._state.platform.update(stored.key, stored.version, body)
            self.read()

    def _read_both(self) -> None:
        self._hosts = read_host_list(self._state.platform)
        listed = self._state.platform.read_all(_DRAIN_KIND)
        self._drains = tuple(_decode_all(listed))


def _is_news(progress: Drain, last: Drain) -> bool:
    if progress.state != last.state:
        return True
    old = progress.at_unix_s > last.at_unix_s + _REPORT_PERIOD_S
    return old and progress.remaining != last.remaining


def _decode_all(listed: tuple[StoredObject, ...]) -> Iterator[StoredDrain]:
    for stored in listed:
        try:
            drain = structure(parse_json(stored.body), Drain)
        except ExceptionGroup as group:
            logger.warning('drain {} is wrong: {}', stored.key, group)
            continue
        yield StoredDrain(drain, stored)
