"""A store whose lists may be stale, which may forget, and come back older.

Its clients stand in for the platform's client; all time is simulated.
"""

from __future__ import annotations

import random
from typing import Protocol
from typing import Any

import eventlet
from cowslipstep_standins.takeovers._simulated_time import STEP_S
from attrs import define, field, frozen

from cowslipstep.model import MayHaveRun, Reason
from cowslipstep.platform import (
    HistoryGone,
    KindChanges,
    ObjectChange,
    ObjectKey,
    ObjectMissing,
    ObjectPage,
    PlatformUnavailable,
    StoredObject,
    VersionConflict,
)
from cowslipstep.platform._store_eras import StoreEras, position

# How old the data of a stale read may be.
MAX_AGE_S = 3
# Share of the changes whose response is lost.
_LOST_SHARE = 0.05


@frozen
class Copy:
    """The store as it was at a moment."""

    at_s: float
    revision: int
    stored: dict[ObjectKey, StoredObject]


class Clock(Protocol):
    """Tells the time of a store."""

    @property
    def now_s(self) -> float:
        """Reading of a monotonic clock, seconds."""


@define
class AgingStore:
    """Objects with one revision, and all that they were.

    Attributes
    ----------
    clock
        Real or simulated time.
    chance
        Draws ages, and lost responses.
    read_delay_s
        Time that a list or watch takes.
    """

    clock: Clock
    chance: random.Random
    read_delay_s: float = STEP_S
    era: int = 1
    revision: int = 0
    history_from: int = 0
    stored: dict[ObjectKey, StoredObject] = field(factory=dict)
    changes: list[tuple[int, ObjectChange]] = field(factory=list)
    copies: list[Copy] = field(factory=list)

    @property
    def position(self) -> int:
        """Era and revision in one number."""
        return position(self.era, self.revision)

    def put(self, key: ObjectKey, body: str) -> StoredObject:
        """Write an object; one that stays the same is no change."""
        former = self.stored.get(key)
        if former is not None and former.body == body:
            return former
        self.revision += 1
        stored = StoredObject(key, self.position, body)
        self._change(key, stored, removed=False)
        return stored

    def remove(self, key: ObjectKey) -> None:
        """Remove an object."""
        former = self.stored.get(key)
        if former is not None:
            self.revision += 1
            self._change(key, former, removed=True)

    def forget(self) -> None:
        """Forget the history up to now."""
        self.history_from = self.revision

    def copy_of(self, age_s: float) -> Copy:
        """Return the store as it was some seconds ago."""
        oldest_s = self.clock.now_s - age_s
        past = [copy for copy in self.copies if copy.at_s <= oldest_s]
        return past[-1] if past else Copy(0, 0, {})

    def restore(self) -> None:
        """Come back as of some seconds ago, in the next era."""
        copy = self.copy_of(self.chance.uniform(0, MAX_AGE_S))
        self.era += 1
        self.revision = copy.revision
        self.history_from = copy.revision
        self.stored = {
            key: StoredObject(key, self.position, stored.body)
            for key, stored in copy.stored.items()
        }
        self.changes.clear()
        # What was written since is gone, also for stale reads.
        self.copies = [past for past in self.copies if past.at_s <= copy.at_s]
        _keep_copy(self)

    def _change(
        self, key: ObjectKey, stored: StoredObject, *, removed: bool
    ) -> None:
        if removed:
            self.stored.pop(key)
        else:
            self.stored[key] = stored
        self.changes.append((self.position, ObjectChange(stored, removed)))
        _keep_copy(self)


def _keep_copy(store: AgingStore) -> None:
    store.copies.append(
        Copy(store.clock.now_s, store.revision, dict(store.stored))
    )


@frozen
class StoreClient:
    """One daemon's client of the store.

    Parameters
    ----------
    store
        The store.
    eras
        Eras of the responses.
    """

    store: AgingStore
    eras: StoreEras = field(factory=StoreEras)

    def read(self, key: ObjectKey) -> StoredObject:
        """Read one object."""
        _call(self, STEP_S)
        if key not in self.store.stored:
            raise ObjectMissing(str(key))
        return self.store.stored[key]

    def create(self, key: ObjectKey, body: str) -> int:
        """Create an object."""
        return self._write(key, None, body)

    def update(self, key: ObjectKey, version: int, body: str) -> int:
        """Replace an object that still has a version."""
        return self._write(key, version, body)

    def list_kind(self, kind: str, *, stale: bool = False) -> ObjectPage:
        """Read all objects of a kind."""
        age_s = self.store.chance.uniform(0, MAX_AGE_S) if stale else 0
        _call(self, self.store.read_delay_s)
        copy = self.store.copy_of(age_s)
        listed = tuple(
            stored for key, stored in copy.stored.items() if key.kind == kind
        )
        return ObjectPage(listed, '', position(self.store.era, copy.revision))

    def watch_kind(
        self, kind: str, revision: int, wait_s: float
    ) -> KindChanges:
        """Wait for changes of a kind."""
        ends_s = self.store.clock.now_s + wait_s
        _call(self, self.store.read_delay_s)
        changes = self._changes(kind, revision)
        while not changes and self.store.clock.now_s < ends_s:
            _call(self, STEP_S)
            changes = self._changes(kind, revision)
        return KindChanges(changes, self.store.position)

    def _changes(self, kind: str, known: int) -> tuple[ObjectChange, ...]:
        if known < position(self.store.era, self.store.history_from):
            raise HistoryGone(kind)
        return tuple(
            change
            for at, change in self.store.changes
            if at > known and change.stored_object.key.kind == kind
        )

    def _write(self, key: ObjectKey, version: int | None, body: str) -> int:
        _call(self, STEP_S)
        former = self.store.stored.get(key)
        if (former and former.version) != version:
            raise VersionConflict(str(key))
        written: Any = self.store.put(key, body)
        eventlet.sleep(STEP_S)
        if self.store.chance.random() < _LOST_SHARE:
            raise PlatformUnavailable(MayHaveRun(Reason.platform_down), 'lost')
        return int(written.version)


def _call(client: StoreClient, duration_s: float) -> None:
    eventlet.sleep(duration_s)
    client.eras.observe(client.store.era)
