"""HTTP interface of a store whose lists may be stale."""

from __future__ import annotations

import json
import time
from collections.abc import Iterable
from typing import Any

import eventlet
from attrs import define

from cowslipstep.daemon._group_ledgers import GROUP_LEDGER_KIND
from cowslipstep.platform import ObjectKey, StoredObject
from cowslipstep.platform._store_eras import position, revision_of
from cowslipstep_standins._http import (
    Environ,
    HttpRequest,
    HttpResponse,
    StartResponse,
    ok,
    read_request,
)
from cowslipstep_standins.serving_soak._plain_store import ERA_HEADER
from cowslipstep_standins.takeovers._aging_store import MAX_AGE_S, AgingStore

_POLL_PERIOD_S = 0.02
_CONFLICT = HttpResponse('409 Conflict')
_MISSING = HttpResponse('404 Not Found')
_GONE = HttpResponse('410 Gone')


class RealTime:
    """The clock of the process."""

    @property
    def now_s(self) -> float:
        """Reading of the monotonic clock."""
        return time.monotonic()


@define
class StoreApi:
    """WSGI application of a store.

    Attributes
    ----------
    store
        The store.
    controller
        Daemon that last wrote the lease.
    """

    store: AgingStore
    controller: str = ''

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Respond to one call."""
        response = self._respond(read_request(environ))
        payload = json.dumps(response.document).encode()
        headers = [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(payload))),
            (ERA_HEADER, str(self.store.era)),
        ]
        start_response(response.status, headers)
        return [payload]

    def _respond(self, request: HttpRequest) -> HttpResponse:
        kind, *names = request.segments
        if names:
            return self._respond_with_object(ObjectKey(kind, *names), request)
        if 'after' in request.query:
            return self._watch(kind, request.query)
        return self._list(kind, is_stale=request.query['stale'] == '1')

    def _respond_with_object(
        self, key: ObjectKey, request: HttpRequest
    ) -> HttpResponse:
        stored = self.store.stored.get(key)
        if request.method == 'POST' and stored is None:
            return _object(self.store.put(key, request.document))
        if stored is None:
            return _MISSING
        if request.method == 'GET':
            return _object(stored)
        return self._change(key, stored, request)

    def _change(
        self, key: ObjectKey, stored: StoredObject, request: HttpRequest
    ) -> HttpResponse:
        expected = request.query.get('version', '')
        if expected != str(revision_of(stored.version)):
            return _CONFLICT
        if request.method == 'DELETE':
            self.store.remove(key)
            return ok({})
        if key.kind == GROUP_LEDGER_KIND:
            self.controller = request.headers.get('user-agent', '')
        return _object(self.store.put(key, request.document))

    def _list(self, kind: str, *, is_stale: bool) -> HttpResponse:
        age_s = self.store.chance.uniform(0, MAX_AGE_S) if is_stale else 0
        copy = self.store.copy_of(age_s)
        listed = [
            _entry(stored)
            for key, stored in copy.stored.items()
            if key.kind == kind
        ]
        return ok({'objects': listed, 'at': copy.revision})

    def _watch(self, kind: str, query: dict[str, str]) -> HttpResponse:
        known = position(self.store.era, int(query['after']))
        ends_s = time.monotonic() + float(query['wait_s'])
        if int(query['after']) < self.store.history_from:
            return _GONE
        changes = self._changes(kind, known)
        while not changes and time.monotonic() < ends_s:
            eventlet.sleep(_POLL_PERIOD_S)
            changes = self._changes(kind, known)
        return ok({'changes': changes, 'at': self.store.revision})

    def _changes(self, kind: str, known: int) -> list[Any]:
        return [
            (_entry(change.stored_object), change.removed)
            for at, change in self.store.changes
            if at > known and change.stored_object.key.kind == kind
        ]


def _entry(stored: StoredObject) -> tuple[str, int, str]:
    return stored.key.name, revision_of(stored.version), stored.body


def _object(stored: StoredObject) -> HttpResponse:
    return ok(_entry(stored))
