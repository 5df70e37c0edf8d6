"""Hosts that the platform will take away and drains that operators request."""

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
_PROGRESS_PERIOD_S = 3


class DrainState(enum.StrEnum):
    """Progress of a drain."""

    asked = 'asked'
    draining = 'draining'
    drained = 'drained'


@frozen
class Drain:
    """An operator's request to drain a host or a group.

    Parameters
    ----------
    target
        Name of the host or group.
    kind
        ``host`` or ``group``.
    state
        Progress, set by the controller.
    remaining
        Requests that are still in progress, set by the controller.
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
    """A drain and the platform's object that stores it."""

    drain: Drain
    stored: StoredObject


class DrainTargets:
    """Hosts and groups to drain, as last read from the platform.

    While the platform does not answer, the last answers stay in use.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: DaemonState) -> None:
        self._state = state
        self._hosts = HostList()
        self._requests: tuple[StoredDrain, ...] = ()

    @property
    def names(self) -> frozenset[str]:
        """Names of the hosts and groups to drain."""
        targets = {entry.drain.target for entry in self._requests}
        return self._hosts.leaving | targets

    @property
    def requests(self) -> tuple[StoredDrain, ...]:
        """Drains that operators requested."""
        return self._requests

    def refresh(self) -> None:
        """Read the platform's list of hosts and the requested drains."""
        try:
            self._read_platform()
        except CowslipstepError as error:
            logger.debug(
                'leaving hosts and requested drains not read, '
                'those read last stay in use: {}',
                error,
            )

    def report_progress(
        self,
        entry: StoredDrain,
        state: DrainState,
        remaining: int = 0,
    ) -> None:
        """Write the progress of a drain to its object, for the operator."""
        progress = evolve(
            entry.drain,
            state=state,
            remaining=remaining,
            at_unix_s=time.time(),
        )
        if not _is_worth_reporting(progress, entry.drain):
            return
        stored = entry.stored
        body = json.dumps(unstructure(progress))
        with contextlib.suppress(CowslipstepError):
            self._state.platform.update(stored.key, stored.version, body)
            self.refresh()

    def _read_platform(self) -> None:
        self._hosts = read_host_list(self._state.platform)
        stored_drains = self._state.platform.read_all(_DRAIN_KIND)
        self._requests = tuple(_decode_valid(stored_drains))


def _is_worth_reporting(progress: Drain, last: Drain) -> bool:
    if progress.state != last.state:
        return True
    is_due = progress.at_unix_s > last.at_unix_s + _PROGRESS_PERIOD_S
    return is_due and progress.remaining != last.remaining


def _decode_valid(
    stored_drains: tuple[StoredObject, ...],
) -> Iterator[StoredDrain]:
    for stored in stored_drains:
        try:
            drain = structure(parse_json(stored.body), Drain)
        except ExceptionGroup as group:
            logger.warning(
                'drain {} ignored, its document is invalid: {}',
                stored.key,
                group,
            )
            continue
        yield StoredDrain(drain, stored)
