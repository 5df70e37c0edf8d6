"""Versioned objects in memory, with conditional changes and watches."""

from __future__ import annotations

import time

import eventlet
from attrs import asdict, define
from eventlet.event import Event

from cowslipstep_standins._http import HttpRequest, HttpResponse, ok

_MAX_BODY_BYTES = 1048576
_OK = '200 OK'
_CONFLICT = '409 Conflict'
_NOT_FOUND = HttpResponse('404 Not Found')


@define
class _StoredObject:
    version: int
    body: str


class ObjectStore:
    """Holds objects in memory, with one version counter for all of them."""

    def __init__(self) -> None:
        self._entries: dict[str, _StoredObject] = {}
        self._version = 0
        self._changed = Event()

    def respond(self, request: HttpRequest) -> HttpResponse:
        """Read, watch, list, create, replace or delete an object."""
        name = '/'.join(request.segments[1:])
        match request.method:
            case 'GET' if len(request.segments) == 2:
                return _list_objects(name, self._entries)
            case 'GET':
                return self._read(name, request)
            case 'POST' if name in self._entries:
                return _entry_response(_CONFLICT, self._entries[name])
            case 'POST':
                return self._write(name, request)
        return self._change(name, request)

    def _read(self, name: str, request: HttpRequest) -> HttpResponse:
        known_version = int(request.query.get('after', -1))
        end_s = time.monotonic() + float(request.query.get('wait_s', 0))
        self._wait_for_newer(name, known_version, end_s)
        entry = self._entries.get(name)
        if entry is None and known_version < 0:
            return _NOT_FOUND
        if entry is None or entry.version <= known_version:
            return HttpResponse('304 Not Modified')
        return _entry_response(_OK, entry)

    def _wait_for_newer(
        self, name: str, known_version: int, end_s: float
    ) -> None:
        while known_version >= 0 and time.monotonic() < end_s:
            entry = self._entries.get(name)
            if entry is not None and entry.version > known_version:
                return
            with eventlet.Timeout(end_s - time.monotonic(), False):
                self._changed.wait()

    def _change(self, name: str, request: HttpRequest) -> HttpResponse:
        if name not in self._entries:
            return _NOT_FOUND
        entry = self._entries[name]
        if entry.version != int(request.query['version']):
            return _entry_response(_CONFLICT, entry)
        if request.method == 'PUT':
            return self._write(name, request)
        self._entries.pop(name)
        self._notify()
        return ok({})

    def _write(self, name: str, request: HttpRequest) -> HttpResponse:
        body = request.document['body']
        if len(body) > _MAX_BODY_BYTES:
            return HttpResponse('413 Content Too Large')
        self._version += 1
        entry = _StoredObject(self._version, body)
        self._entries[name] = entry
        self._notify()
        return _entry_response(_OK, entry)

    def _notify(self) -> None:
        changed = self._changed
        self._changed = Event()
        changed.send(None)


def _list_objects(kind: str, entries: dict[str, _StoredObject]) -> HttpResponse:
    prefix = f'{kind}/'
    listed = [
        {'name': name.removeprefix(prefix), **asdict(entry)}
        for name, entry in sorted(entries.items())
        if name.startswith(prefix)
    ]
    return ok({'objects': listed})


def _entry_response(status: str, entry: _StoredObject) -> HttpResponse:
    return HttpResponse(status, asdict(entry))
