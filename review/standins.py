"""Stand-ins of the users' platform, runners and requesters, for the cases.

They speak what the users' pages say. Everything listens on loopback addresses
and runs in the process of the case; only the daemons are processes of their
own, started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = 'review.example'
KEY = 'key-review-a'
TENANT = 'tenant-a'
MODEL = 'model-a'
BEAT_S = 1.2
DRAIN_MS = 2000
STABILITY_MS = 3000


# Below the usual range of outgoing connections, so that none takes a port
# between its choice and the start of a daemon.
_PORTS = range(12000, 30000)
_chosen: set[int] = set()


def free_port() -> int:
    while True:
        port = random.choice(_PORTS)
        if port in _chosen:
            continue
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(('127.0.0.1', port))
            _chosen.add(port)
            return port


class Record:
    """Writes what happens to record.txt, with the seconds since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._started = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._started

    def __call__(self, text: str) -> None:
        line = f'{self.now():8.3f} {text}'
        self._file.write(line + '\n')
        self._file.flush()


# --- HTTP ------------------------------------------------------------------


class Head:
    def __init__(self, first: str, headers: list[tuple[str, str]]) -> None:
        self.first = first
        self.headers = headers

    def get(self, name: str, default: str = '') -> str:
        for key, text in self.headers:
            if key.lower() == name:
                return text
        return default


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    line = await reader.readline()
    if not line.endswith(b'\n'):
        return None
    headers = []
    while True:
        raw = await reader.readline()
        if not raw.endswith(b'\n'):
            return None
        if raw in (b'\r\n', b'\n'):
            return Head(line.decode('latin-1').strip(), headers)
        name, _, text = raw.decode('latin-1').partition(':')
        headers.append((name.strip(), text.strip()))


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    if head.get('transfer-encoding').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                return body
    return await reader.readexactly(int(head.get('content-length', '0')))


def response(status: int, body: bytes, *headers: tuple[str, str]) -> bytes:
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    lines += [f'{name}: {text}' for name, text in headers]
    return '\r\n'.join([*lines, '', '']).encode() + body


# Channels that are open; they are closed before the loop of a case ends.
_OPEN: set[asyncio.StreamWriter] = set()


async def _close_all() -> None:
    for writer in tuple(_OPEN):
        writer.transport.abort()
    await asyncio.sleep(0.05)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a channel with a reset."""
    with contextlib.suppress(Exception):
        sock = writer.get_extra_info('socket')
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0'
        )
    with contextlib.suppress(Exception):
        writer.transport.abort()


# --- the platform's store ----------------------------------------------------


class Store:
    """The platform's store of objects; linearizable, loses nothing."""

    def __init__(self) -> None:
        self.objects: dict[str, dict[str, dict]] = {}
        self.revision = 100
        self.history: list[tuple[int, str, bool, dict]] = []
        self.changed = asyncio.Event()
        self.address = ''

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = '%s:%d' % server.sockets[0].getsockname()[:2]

    def put(self, kind: str, name: str, spec) -> None:
        """Write an object, as the operator or a runner does."""
        known = self.objects.setdefault(kind, {}).get(name)
        if known is not None and known['spec'] == spec:
            return
        created = known['metadata']['created'] if known else self.revision + 1
        self._store(kind, name, spec, created)

    def remove(self, kind: str, name: str) -> None:
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            self._note(kind, True, stored)

    def _store(self, kind: str, name: str, spec, created: int) -> dict:
        self.revision += 1
        stored = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self.objects.setdefault(kind, {})[name] = stored
        self._note(kind, False, stored)
        return stored

    def _note(self, kind: str, removed: bool, stored: dict) -> None:
        self.history.append((self.revision, kind, removed, stored))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer) -> None:
        _OPEN.add(writer)
        with contextlib.suppress(Exception):
            while head := await read_head(reader):
                body = await read_body(reader, head)
                status, document = await self._call(head, body)
                writer.write(
                    response(
                        status,
                        json.dumps(document).encode(),
                        ('Content-Type', 'application/json'),
                    )
                )
                await writer.drain()
        writer.close()

    async def _call(self, head: Head, body: bytes) -> tuple[int, dict]:
        method, target, _ = head.first.split(' ')
        url = urlsplit(target)
        query = {key: v[0] for key, v in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.split('/')[3:]]
        kind = parts[0]
        objects = self.objects.setdefault(kind, {})
        if method == 'GET' and len(parts) == 2:
            stored = objects.get(parts[1])
            return (200, stored) if stored else (404, {})
        if method == 'GET' and 'watch' in query:
            return await self._watch(kind, query)
        if method == 'GET':
            names = sorted(n for n in objects if n > query.get('after', ''))
            items = [objects[name] for name in names]
            return 200, {'items': items, 'hasMore': False, 'at': self.revision}
        if method == 'DELETE':
            known = objects.get(parts[1])
            wanted = query.get('revision')
            if known is None:
                return 404, {}
            if wanted and int(wanted) != known['metadata']['revision']:
                return 409, known
            self.remove(kind, parts[1])
            return 200, known
        document = json.loads(body)
        metadata = document['metadata']
        known = objects.get(metadata['name'])
        if method == 'POST':
            if known is not None:
                return 409, known
            created = self.revision + 1
        else:
            if known is None:
                return 404, {}
            wanted = metadata.get('revision')
            if wanted is not None and wanted != known['metadata']['revision']:
                return 409, known
            if known['spec'] == document.get('spec'):
                return 200, known
            created = known['metadata']['created']
        return 200, self._store(
            kind, metadata['name'], document.get('spec'), created
        )

    async def _watch(self, kind: str, query: dict) -> tuple[int, dict]:
        since = int(query['watch'])
        until = time.monotonic() + int(query.get('waitMs', '0')) / 1000
        while True:
            events = [
                {'removed': removed, 'object': stored}
                for revision, of_kind, removed, stored in self.history
                if revision > since and of_kind == kind
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'at': self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left_s)


class Path:
    """The path of one machine to the store; it can be partitioned."""

    def __init__(self, target: str) -> None:
        self._target = target
        self.cut = False
        self.address = ''
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = '%s:%d' % server.sockets[0].getsockname()[:2]

    async def _serve(self, reader, writer) -> None:
        host, port = self._target.split(':')
        far_reader, far_writer = await asyncio.open_connection(host, port)
        _OPEN.update((writer, far_writer))
        await asyncio.gather(
            self._pump(reader, far_writer), self._pump(far_reader, writer)
        )

    async def _pump(self, reader, writer) -> None:
        with contextlib.suppress(Exception):
            while data := await reader.read(65536):
                while self.cut:
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(Exception):
            writer.close()


# --- runners -----------------------------------------------------------------


class Run:
    """One request that a runner began to work on."""

    def __init__(self, runner: 'Runner', head: Head, body: bytes) -> None:
        self.runner = runner
        self.id = head.get('x-cowslipstep-request-id')
        self.head = head
        self.body = body
        self.at = time.monotonic()


class Runner:
    """A runner; ``respond`` of a case may replace how it answers."""

    def __init__(
        self,
        store: Store,
        record: Record,
        name: str,
        service: str,
        engine: bool = False,
    ) -> None:
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.engine = engine
        self.port = 0
        self.born = int(time.time() * 1000)
        self.state = 'ready'
        self.leaving = False
        self.alive = False
        self.group: dict | None = None
        self.model_loaded = ''
        self.epoch_seen = 0
        self.fence_seen = 0
        self.sequence = 0
        self.active = 0
        self.runs: list[Run] = []
        self.respond = None
        self.beat_s = BEAT_S
        self.cold_until = 0.0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server = None
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.alive = True
        self._tasks.append(asyncio.create_task(self._beat()))

    async def _beat(self) -> None:
        while self.alive:
            self.tell()
            await asyncio.sleep(self.beat_s)

    def _self_report(self) -> dict:
        models = []
        if self.model_loaded:
            models = [{'name': self.model_loaded, 'version': 1, 'adapters': []}]
        told = {'models': models, 'sequence': self.sequence, 'born': self.born}
        if self.engine:
            told |= {'stage': 'both', 'domain': 'd1', 'staged': [MODEL]}
            if self.group:
                told['group'] = {
                    key: self.group[key]
                    for key in ('name', 'epoch', 'rank', 'state')
                }
        return told

    def tell(self) -> None:
        if not self.alive or self.state == 'gone':
            return
        self.store.put(
            'servers',
            self.name,
            {
                'service': self.service,
                'address': f'127.0.0.1:{self.port}',
                'zone': 'zone-a',
                'version': 'v1',
                'slots': 9 if self.engine else 6,
                'state': self.state,
                'coldRemainingMs': self._cold_remaining_ms(),
                **self._self_report(),
            },
        )

    def _cold_remaining_ms(self) -> int:
        return max(0, round(1000 * (self.cold_until - time.monotonic())))

    def stop(self, with_reset: bool = True) -> None:
        """End the process of the runner: its channels are cut."""
        self.alive = False
        self._server.close()
        for writer in tuple(self._writers):
            if with_reset:
                reset(writer)
            else:
                writer.close()
        for task in self._tasks:
            task.cancel()

    async def crash(self, back_after_s: float) -> 'None':
        """Crash; the entry expires after three beats of silence."""
        self.record(f'runner {self.name} crashes')
        self.stop()
        await asyncio.sleep(3 * BEAT_S)
        self.store.remove('servers', self.name)

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        _OPEN.add(writer)
        try:
            while head := await read_head(reader):
                body = await read_body(reader, head)
                if not await self._answer(head, body, writer):
                    break
                await writer.drain()
        except (Exception, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    def extra(self) -> list[tuple[str, str]]:
        """Headers of all answers of a runner that leaves."""
        return [('Server-Leaving', '1')] if self.leaving else []

    async def _answer(self, head: Head, body: bytes, writer) -> bool:
        method, target, _ = head.first.split(' ')
        expected = head.get('x-cowslipstep-expect-instance')
        own = ('X-Cowslipstep-Instance-Id', self.name)
        if expected and expected != self.name:
            writer.write(response(421, b'', own, *self.extra()))
            return True
        if target == '/health':
            status = 503 if self.leaving else 200
            writer.write(response(status, b'', own, *self.extra()))
            return True
        if target == '/v1/report':
            report = {
                **self._self_report(),
                'busy': False,
                'queued': 0,
                'active': self.active,
                'kvUsed': 0,
                'kvTotal': 900000,
                'handles': 0,
            }
            writer.write(
                response(200, json.dumps(report).encode(), *self.extra())
            )
            return True
        if target == '/v1/order':
            status = self._order(json.loads(body))
            writer.write(response(status, b'{}', *self.extra()))
            return True
        if self.engine and not self._serves():
            writer.write(response(421, b'', own, *self.extra()))
            return True
        run = Run(self, head, body)
        self.runs.append(run)
        self.active += 1
        try:
            return await self.respond(run, writer)
        finally:
            self.active -= 1

    def _serves(self) -> bool:
        return bool(
            self.group
            and self.group['rank'] == 0
            and self.group['state'] == 'open'
        )

    def _order(self, order: dict) -> int:
        token = order.get('fencingToken', 0)
        if token < self.fence_seen:
            return 412
        self.fence_seen = max(self.fence_seen, token)
        operation = order['operation']
        if operation == 'stage':
            return 200
        if operation == 'join':
            return self._join(order)
        group = self.group
        if not group or (group['name'], group['epoch']) != (
            order['group'],
            order['epoch'],
        ):
            return 409
        if operation == 'leave':
            self.group = None
        elif operation == 'open':
            if group['rank'] != 0 or group['state'] != 'ready':
                return 200 if group['state'] == 'open' else 409
            self._tasks.append(
                asyncio.create_task(self._become(group, 'open', 0.3))
            )
        elif operation == 'close':
            group['state'] = 'ready'
        self.sequence += 1
        self.tell()
        return 202

    def _join(self, order: dict) -> int:
        if order['epoch'] < self.epoch_seen:
            return 412
        self.epoch_seen = order['epoch']
        rank = order['members'].index(self.name)
        self.group = {
            'name': order['group'],
            'epoch': order['epoch'],
            'rank': rank,
            'state': 'joining',
        }
        self.model_loaded = order['model']
        self.sequence += 1
        self.tell()
        self._tasks.append(
            asyncio.create_task(self._become(self.group, 'ready', 0.2))
        )
        return 202

    async def _become(self, group: dict, state: str, after_s: float) -> None:
        await asyncio.sleep(after_s)
        if self.group is group:
            group['state'] = state
            self.tell()

    def signature(self, run: Run) -> tuple[tuple[str, str], tuple[str, str]]:
        return (
            ('X-Cowslipstep-Request-Id', run.id),
            ('X-Cowslipstep-Response-Signature', f'{self.name}.{run.id}'),
        )

    def stream_head(self, run: Run) -> bytes:
        lines = [
            'HTTP/1.1 200 OK',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
            *(f'{n}: {t}' for n, t in self.signature(run)),
            *(f'{n}: {t}' for n, t in self.extra()),
        ]
        return '\r\n'.join([*lines, '', '']).encode()


def chunk(data: bytes) -> bytes:
    return f'{len(data):x}\r\n'.encode() + data + b'\r\n'


def event(number: int) -> bytes:
    return f'id: {number}\ndata: piece {number}\n\n'.encode()


# --- configuration ------------------------------------------------------------


def route(prefix: str, kind: str, service: str, **fields) -> dict:
    return {
        'name': 'r-' + prefix.strip('/'),
        'host': HOST,
        'pathPrefix': prefix,
        'kind': kind,
        'timeoutMs': 6000,
        'targetLatencyMs': 1000,
        'priority': 0,
        'service': service,
        'maxAttempts': 2,
        'allowAnonymous': False,
        'sessionAffinity': False,
        'streamResume': False,
        **fields,
    }


ENGINE = {
    'slots': 9,
    'kvCapacityTokens': 984705,
    'kvTokenBytes': 181816,
    'linkMbps': 400000.0,
    'stride': 5,
    'models': [
        {
            'name': MODEL,
            'size': 2,
            'share': 1.0,
            'pace': 1.0,
            'loadS': 12.0,
            'warmS': 0.2,
        }
    ],
    'step_ms': 7.8,
    'per_seq_ms': 0.179,
    'context_per_k': 0.0181,
    'read_per_s': 45900.0,
    'pairs_per_m': 0.433,
    'chunk': 2048,
    'report_lag_ms': 200.0,
    'loadsPerS': 5.0,
    'loads_at_once': 7,
    'delays': [],
    'usual': {'prompt': 700, 'answer': 30},
    'cachedPrefixes': 1,
    'far_x': 2.5,
    'formMs': 300.0,
}


def configuration(version: int, routes: list[dict], services: dict) -> dict:
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'healthPath': '/health',
                'maxConnections': 378,
                'protocol': 'h1',
                'tls': False,
                **({'engine': ENGINE} if engine else {}),
            }
            for name, engine in services.items()
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': TENANT, 'apiKeys': [KEY], 'priority': 1}],
    }


# --- daemons -----------------------------------------------------------------

_SETTINGS = """
nodeName = "{name}"
role = "daemon"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "zone-a"
region = "region-a"
internalPorts = [{peer},{peer}]
seeds = []
bootstrap = {bootstrap}
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","gangs"]
[zones]
zone-a = "region-a"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stabilityWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
strictRevocation = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 109
recoverS = 12
forwardPassMs = 120
retryAfterS = 0
stallMs = 4000
fencingRequired = true
ceilingWindowS = 5
loadBurstFactor = 1.1
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""


class Daemon:
    """A daemon, as a process with the command of the deploy file."""

    def __init__(
        self, record: Record, folder: pathlib.Path, name: str, store: str
    ) -> None:
        self.record = record
        self.name = name
        self.front = free_port()
        self.ready = free_port()
        self._folder = folder
        self._store = store
        self._peer = free_port()
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, bootstrap: bool = True, limit=None) -> None:
        path = self._folder / f'{self.name}.toml'
        path.write_text(
            _SETTINGS.format(
                name=self.name,
                peer=self._peer,
                front=self.front,
                ready=self.ready,
                store=self._store,
                bootstrap='true' if bootstrap else 'false',
            )
        )
        kept = ('PATH', 'HOME', 'LANG')
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        log = (self._folder / f'{self.name}.log').open('ab')
        self.process = await asyncio.create_subprocess_exec(
            'python3',
            '-m',
            'cowslipstep_site',
            cwd=ROOT,
            env={
                **environment,
                'COWSLIPSTEP_NODE_FILE': str(path),
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
            },
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            preexec_fn=limit,
        )
        self.record(f'daemon {self.name} started')

    def log(self) -> str:
        return (self._folder / f'{self.name}.log').read_text(errors='replace')

    async def is_ready(self) -> bool:
        """Ask once whether it counts as ready, as the platform does."""
        with contextlib.suppress(Exception):
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', self.ready
                )
                writer.write(
                    b'GET /v1/readiness HTTP/1.1\r\nHost: x\r\n'
                    b'Connection: close\r\n\r\n'
                )
                line = await reader.readline()
                writer.close()
                return b' 200 ' in line
        return False

    async def wait_ready(self, timeout_s: float = 20) -> None:
        until = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > until or self.process.returncode is not None:
                raise CannotRun(f'daemon {self.name} is not ready')
            await asyncio.sleep(0.1)
        self.record(f'daemon {self.name} is ready')

    def send(self, number: signal.Signals) -> None:
        if self.process.returncode is None:
            self.process.send_signal(number)
            self.record(f'daemon {self.name} gets {number.name}')

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class CannotRun(Exception):
    """The case could not run."""


# --- requesters ---------------------------------------------------------------


class Answer:
    def __init__(self) -> None:
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.status = 0
        self.head: Head | None = None
        self.body = b''
        self.complete = False
        self.error = ''

    def __str__(self) -> str:
        took_ms = round((self.ended_at - self.sent_at) * 1000)
        end = 'complete' if self.complete else f'incomplete {self.error}'
        return f'{self.status} {end}, {len(self.body)} bytes, {took_ms} ms'


_numbers = iter(range(1, 10**9))


def new_id() -> str:
    return f'q{next(_numbers):06d}'


async def ask(
    daemon: Daemon,
    method: str,
    path: str,
    request_id: str,
    deadline_ms: int = 6000,
    headers: tuple[tuple[str, str], ...] = (),
    body: bytes = b'',
    on_first=None,
) -> Answer:
    """Send one request on a new channel and read its answer."""
    answer = Answer()
    answer.sent_at = time.monotonic()
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'X-Cowslipstep-Request-Id: {request_id}',
        f'X-Cowslipstep-Deadline-Ms: {deadline_ms}',
        f'Authorization: Token {KEY}',
        *(f'{name}: {text}' for name, text in headers),
    ]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1):
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', daemon.front
            )
            _OPEN.add(writer)
            writer.write('\r\n'.join([*lines, '', '']).encode() + body)
            await _read_answer(reader, answer, on_first)
    except Exception as error:
        answer.error = type(error).__name__
    finally:
        if writer is not None:
            _OPEN.discard(writer)
            writer.transport.abort()
    answer.ended_at = time.monotonic()
    return answer


async def _read_answer(reader, answer: Answer, on_first) -> None:
    head = await read_head(reader)
    if head is None:
        answer.error = 'closed without an answer'
        return
    answer.head = head
    answer.status = int(head.first.split(' ')[1])
    if head.get('transfer-encoding').lower() != 'chunked':
        size = int(head.get('content-length', '0'))
        answer.body = await reader.readexactly(size)
        answer.complete = True
        return
    while True:
        line = await reader.readline()
        if not line.endswith(b'\n'):
            answer.error = 'closed within the answer'
            return
        size = int(line.split(b';')[0], 16)
        answer.body += (await reader.readexactly(size + 2))[:-2]
        if on_first is not None and answer.body:
            on_first()
            on_first = None
        if not size:
            answer.complete = True
            return


# --- running a case -------------------------------------------------------------


def run_case(folder: str, case) -> None:
    """Run ``case(record, temporary folder, trouble)``; it returns if the rule held."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(pathlib.Path(folder).resolve())

    async def limited(temporary: pathlib.Path) -> bool:
        async with asyncio.timeout(115):
            try:
                return await case(record, temporary, trouble)
            finally:
                await _close_all()

    with tempfile.TemporaryDirectory() as temporary:
        try:
            held = asyncio.run(limited(pathlib.Path(temporary)))
        except (CannotRun, TimeoutError, OSError) as error:
            record(f'the case could not run: {error!r}')
            print(f'could not run: {error!r}')
            sys.exit(2)
    verdict = 'held' if held else 'BROKEN'
    record(f'trouble={trouble}: the rule is {verdict}')
    print(f'trouble={trouble}: the rule is {verdict}')
    sys.exit(0 if held else 1)
