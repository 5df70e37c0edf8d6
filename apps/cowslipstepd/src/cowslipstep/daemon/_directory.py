"""Directory of daemons at the platform, one object per failure domain."""

from __future__ import annotations

import itertools
import json
import random
import time
import uuid
from collections.abc import Callable, Iterable, Iterator

import eventlet
from attrs import frozen
from loguru import logger

from cowslipstep.daemon._silent_daemons import SilentDaemons
from cowslipstep.daemon._state import DaemonState
from cowslipstep.model import CowslipstepError, DaemonEntry
from cowslipstep.platform import ObjectKey, PlatformClient, StoredObject
from cowslipstep.routing import rendezvous_order
from cowslipstep.settings import parse_json, structure, unstructure

DIRECTORY_KIND = 'daemons'
_REFRESH_PERIOD_S = 60
_RETRY_DELAY_S = 3
_MIN_DELAY_FACTOR = 0.7
_MAX_DELAY_FACTOR = 1.3


@frozen
class DirectoryPage:
    """The daemons of one failure domain.

    ``attempt`` identifies the update that wrote the page, so that a writer
    can find out whether an unanswered update was made.
    """

    daemons: tuple[DaemonEntry, ...] = ()
    attempt: str = ''


@frozen
class StoredPage:
    """A page as read; its version is zero if it does not exist yet."""

    key: ObjectKey
    version: int = 0
    entries: tuple[DaemonEntry, ...] = ()


class Directory:
    """Lists this daemon, reads the others and removes those that are gone.

    The owner of a page, chosen by rendezvous hashing without a lock, removes
    the entries of daemons that sent no heartbeat for long, all of them in
    one update per refresh.

    Parameters
    ----------
    state
        State of the daemon.
    clock
        Monotonic clock, seconds.
    """

    def __init__(
        self,
        state: DaemonState,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._state = state
        self._silent_daemons = SilentDaemons(state.membership.liveness, clock)
        domain = state.settings.failure_domain
        self._key = ObjectKey(DIRECTORY_KIND, domain)

    def run(self) -> None:
        """Refresh the directory periodically, forever."""
        while True:
            delay_s = _REFRESH_PERIOD_S
            try:
                self.refresh()
            except (CowslipstepError, ExceptionGroup) as error:
                logger.debug('directory not refreshed, retrying: {}', error)
                delay_s = _RETRY_DELAY_S
            eventlet.sleep(
                delay_s * random.uniform(_MIN_DELAY_FACTOR, _MAX_DELAY_FACTOR)
            )

    def leave(self) -> None:
        """Remove the entry of this daemon, in a planned stop."""
        stored = self._state.platform.read(self._key)
        entries = _decode(stored)
        own = self._state.membership.own
        remaining = tuple(_without_own(entries, own))
        self._write(StoredPage(self._key, stored.version, entries), remaining)

    def refresh(self) -> None:
        """Read all pages once and update those whose entries must change.

        Raises
        ------
        CowslipstepError
            If the platform did not answer, or another daemon changed a page
            since it was read.
        """
        pages = _read_pages(self._state.platform, self._key)
        silent = self._update_known(
            frozenset(
                itertools.chain.from_iterable(page.entries for page in pages),
            ),
        )
        for page in pages:
            self._write(page, self._revise(page, silent))

    def _update_known(
        self,
        listed: frozenset[DaemonEntry],
    ) -> frozenset[DaemonEntry]:
        membership = self._state.membership
        for entry in listed:
            membership.known.add(entry)
        others = listed | frozenset(membership.others.values())
        self._silent_daemons.track(others - {membership.own})
        silent = frozenset(self._silent_daemons.find())
        gone = silent - listed
        membership.known.remove({other.name for other in gone})
        return silent

    def _revise(
        self,
        page: StoredPage,
        silent: frozenset[DaemonEntry],
    ) -> tuple[DaemonEntry, ...]:
        remaining = page.entries
        if owns_page(self._state, page.key.name):
            remaining = tuple(
                entry for entry in remaining if entry not in silent
            )
        own = self._state.membership.own
        if page.key != self._key or own in remaining:
            return remaining
        return (*_without_own(remaining, own), own)

    def _write(
        self,
        page: StoredPage,
        entries: tuple[DaemonEntry, ...],
    ) -> None:
        if entries == page.entries:
            return
        attempt = uuid.uuid4().hex
        self._state.platform.update_verified(
            page.key,
            page.version,
            json.dumps(unstructure(DirectoryPage(entries, attempt))),
            attempt,
        )


def _read_pages(
    platform: PlatformClient,
    own_key: ObjectKey,
) -> list[StoredPage]:
    pages = {
        stored.key: StoredPage(stored.key, stored.version, _decode(stored))
        for stored in platform.read_all(DIRECTORY_KIND)
    }
    pages.setdefault(own_key, StoredPage(own_key))
    return list(pages.values())


def owns_page(state: DaemonState, failure_domain: str) -> bool:
    """Return whether this daemon removes entries of a page.

    The owner is a live daemon of that failure domain, else any live one.
    """
    live = frozenset(state.live_daemons)
    local = live & state.daemons_in(failure_domain)
    role = f'{DIRECTORY_KIND}/{failure_domain}'
    return rendezvous_order(role, local or live)[0] == state.settings.name


def _without_own(
    entries: Iterable[DaemonEntry],
    own: DaemonEntry,
) -> Iterator[DaemonEntry]:
    for entry in entries:
        if entry.name != own.name and entry.address != own.address:
            yield entry


def _decode(stored: StoredObject) -> tuple[DaemonEntry, ...]:
    return structure(parse_json(stored.body), DirectoryPage).daemons
