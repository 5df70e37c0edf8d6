"""Stand-ins of the second review: a store, runners, callers, and daemons.

The store and the runners follow PROTOCOL.md. Only the standard library is
used; the daemons are the project's own, started as the deploy file says.
"""

from __future__ import annotations

import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = 'shop.example'
STORE_IP = '127.83.0.1'
RUNNER_IP = '127.83.1.1'
CALLER_IP = '127.83.3.1'
DRAIN_S = 2.0
STALL_S = 4.0


def daemon_ip(number):
    """Each daemon has an address of its own: the port of metrics is fixed."""
    return f'127.83.2.{number}'


class Record:
    """Lines of record.txt, with seconds since the start."""

    def __init__(self, folder):
        self.started_s = time.monotonic()
        self._file = (pathlib.Path(folder) / 'record.txt').open('w')
        self._lock = threading.Lock()
        self.line(f'TROUBLE={int(TROUBLE)}')

    def now(self):
        return time.monotonic() - self.started_s

    def line(self, text):
        with self._lock:
            self._file.write(f'{self.now():8.3f} {text}\n')
            self._file.flush()


class Server(ThreadingHTTPServer):
    daemon_threads = True
    block_on_close = False
    request_queue_size = 512

    def handle_error(self, *_):
        """Say nothing of broken connections."""


class Handler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True

    def log_message(self, *_):
        """Log nothing."""

    def body(self):
        return self.rfile.read(int(self.headers.get('Content-Length') or 0))

    def respond(self, status, body=b'', headers=()):
        self.send_response_only(status)
        for name, text in headers:
            self.send_header(name, text)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Store:
    """The platform's store: objects by kind and name, with one revision."""

    def __init__(self, record):
        self.record = record
        self.objects = {}
        self.changes = []
        self.revision = 100
        self.history_from = 100
        self.era = 1
        # Returns the objects and the revision of a list with staleOk=1.
        self.stale = None
        # Name of the daemon that last wrote under a condition.
        self.last_writer = None
        self.changed = threading.Condition()
        self.silent = threading.Event()
        store = self

        class StoreHandler(Handler):
            def parse_request(self):
                parsed = super().parse_request()
                if parsed and store.silent.is_set():
                    # A call that comes while the store is away gets no answer.
                    while store.silent.is_set():
                        time.sleep(0.05)
                    self.close_connection = True
                    return False
                return parsed

            def do_GET(self):
                store.get(self)

            def do_POST(self):
                store.write(self, 'POST')

            def do_PUT(self):
                store.write(self, 'PUT')

            def do_DELETE(self):
                store.delete(self)

        self.server = Server((STORE_IP, 0), StoreHandler)
        self.address = f'{STORE_IP}:{self.server.server_address[1]}'
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, kind, name, spec):
        """Write an object as the operator or a runner does."""
        with self.changed:
            return self._put(kind, name, spec)

    def remove(self, kind, name):
        with self.changed:
            self._remove(kind, name)

    def _put(self, kind, name, spec=None, status=None):
        old = self.objects.get((kind, name))
        if old and old['spec'] == spec and old['status'] == status:
            return old
        self.revision += 1
        created = old['metadata']['created'] if old else self.revision
        stored = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': status,
        }
        self.objects[kind, name] = stored
        self.changes.append((self.revision, kind, stored, False))
        self.changed.notify_all()
        return stored

    def _remove(self, kind, name):
        stored = self.objects.pop((kind, name), None)
        if stored is None:
            return
        self.revision += 1
        self.changes.append((self.revision, kind, stored, True))
        self.changed.notify_all()

    def _answer(self, handler, status, document):
        if self.silent.is_set():
            while self.silent.is_set():
                time.sleep(0.05)
            handler.close_connection = True
            return
        handler.respond(
            status,
            json.dumps(document).encode(),
            [
                ('Content-Type', 'application/json'),
                ('Store-Era', str(self.era)),
            ],
        )

    def copy(self):
        """Return a copy of the store as it is now."""
        with self.changed:
            return self.revision, dict(self.objects)

    def restore(self, copy):
        """Come back from a copy; watches from beyond it get 410."""
        with self.changed:
            self.revision, self.objects = copy[0], dict(copy[1])
            self.changes = [
                change for change in self.changes if change[0] <= copy[0]
            ]
            self.era += 1
            self.changed.notify_all()

    @staticmethod
    def _key(path):
        kind, _, name = path.removeprefix('/v1/objects/').partition('/')
        return kind, unquote(name)

    def get(self, handler):
        url = urlsplit(handler.path)
        kind, name = self._key(url.path)
        query = {key: texts[0] for key, texts in parse_qs(url.query).items()}
        if name:
            with self.changed:
                stored = self.objects.get((kind, name))
            if stored is None:
                self._answer(handler, 404, {})
            else:
                self._answer(handler, 200, stored)
        elif 'watch' in query:
            self._watch(handler, kind, query)
        else:
            with self.changed:
                at, objects = self.revision, self.objects
                if query.get('staleOk') == '1' and self.stale:
                    at, objects = self.stale()
                    self.record.line(
                        f'stale list of {kind} at {at}, the store is at '
                        f'{self.revision}'
                    )
                items = [
                    stored
                    for (of_kind, of_name), stored in sorted(objects.items())
                    if of_kind == kind and of_name > query.get('after', '')
                ]
                page = {
                    'items': items[:500],
                    'hasMore': len(items) > 500,
                    'at': at,
                }
            self._answer(handler, 200, page)

    def _watch(self, handler, kind, query):
        revision = int(query['watch'])
        wait_s = min(int(query.get('waitMs', 0)), 30000) / 1000
        ends_s = time.monotonic() + wait_s
        with self.changed:
            era = self.era
            if revision < self.history_from or revision > self.revision:
                events = None
            else:
                while True:
                    if self.era != era:
                        # A watch that is waiting may be cut off.
                        handler.close_connection = True
                        return
                    events = [
                        {'removed': removed, 'object': stored}
                        for at, of_kind, stored, removed in self.changes
                        if of_kind == kind and at > revision
                    ]
                    left_s = ends_s - time.monotonic()
                    if events or left_s <= 0:
                        break
                    self.changed.wait(min(left_s, 0.5))
            at = self.revision
        if events is None:
            self._answer(handler, 410, {})
        else:
            self._answer(handler, 200, {'events': events, 'at': at})

    def write(self, handler, method):
        document = json.loads(handler.body() or b'{}')
        url = urlsplit(handler.path)
        kind, name = self._key(url.path)
        expected = (document.get('metadata') or {}).get('revision')
        # The daemons' entries are conditional writes, too; they are no duty.
        if expected and kind != 'daemons':
            self.last_writer = handler.headers.get('User-Agent')
        with self.changed:
            if method == 'POST':
                name = document['metadata']['name']
                old = self.objects.get((kind, name))
                if old:
                    status, answer = 409, old
                else:
                    answer = self._put(kind, name, document.get('spec'))
                    status = 200
            else:
                name, _, part = name.partition('/')
                old = self.objects.get((kind, name))
                if old is None:
                    status, answer = 404, {}
                elif expected and expected != old['metadata']['revision']:
                    status, answer = 409, old
                elif part == 'status':
                    answer = self._put(
                        kind, name, old['spec'], document.get('status')
                    )
                    status = 200
                else:
                    answer = self._put(
                        kind, name, document.get('spec'), old['status']
                    )
                    status = 200
        self._answer(handler, status, answer)

    def delete(self, handler):
        url = urlsplit(handler.path)
        kind, name = self._key(url.path)
        query = parse_qs(url.query)
        with self.changed:
            old = self.objects.get((kind, name))
            if old is None:
                status, answer = 404, {}
            elif 'revision' in query and int(query['revision'][0]) != (
                old['metadata']['revision']
            ):
                status, answer = 409, old
            else:
                self._remove(kind, name)
                status, answer = 200, old
        self._answer(handler, status, answer)


class Runner:
    """A plain runner; ``serve`` answers a request, after the usual checks."""

    def __init__(self, record, store, name, service='book', serve=None):
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.serve = serve or Runner.answer
        self.leaving = False
        self.exited = False
        self.arrivals = []
        self.beat = 0
        self.accepted = threading.Event()
        runner = self

        class RunnerHandler(Handler):
            def do_GET(self):
                runner.handle(self)

            def do_POST(self):
                runner.handle(self)

        self.server = Server((RUNNER_IP, 0), RunnerHandler)
        self.address = f'{RUNNER_IP}:{self.server.server_address[1]}'
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def entry(self, state='ready'):
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'north',
            'version': 'v1',
            'slots': 6,
            'state': state,
            'coldRemainingMs': 0,
            'sequence': 1,
            'born': 1700000000000,
        }

    def register(self, state='ready'):
        self.store.put('servers', self.name, self.entry(state))

    def exit(self):
        """Stop listening; requests in progress are cut."""
        self.exited = True
        self.server.shutdown()
        self.server.socket.close()

    def own_headers(self, request_id):
        headers = [
            ('X-Cowslipstep-Request-Id', request_id),
            ('X-Cowslipstep-Instance-Id', self.name),
        ]
        if self.leaving:
            headers.append(('Server-Leaving', '1'))
        return headers

    def handle(self, handler):
        body = handler.body()
        request_id = handler.headers.get('X-Cowslipstep-Request-Id', '')
        expected = handler.headers.get('X-Cowslipstep-Expect-Instance')
        if handler.path == '/health':
            status = 503 if self.leaving else 200
            handler.respond(status, b'', self.own_headers(request_id))
            return
        if expected and expected != self.name:
            handler.respond(421, b'', self.own_headers(request_id))
            return
        at_s = self.record.now()
        self.arrivals.append((at_s, request_id))
        self.record.line(
            f'runner {self.name} gets {request_id} {handler.command} '
            f'{handler.path} leaving={int(self.leaving)}'
        )
        self.serve(self, handler, request_id, body)

    def answer(self, handler, request_id, _body):
        headers = self.own_headers(request_id)
        headers.append(('X-Cowslipstep-Response-Signature', f's.{request_id}'))
        handler.respond(200, f'{self.name} {request_id}'.encode(), headers)


class EngineRunner(Runner):
    """A model runner, which takes orders and serves as the head of a group."""

    # All runners by name: the head of a group stalls without its members.
    fleet = {}

    def __init__(self, record, store, name, settings, serve):
        self.settings = settings
        self.lock = threading.RLock()
        self.group = None
        self.last_model = None
        self.epoch_seen = 0
        self.fence_seen = 0
        self.sequence = 0
        self.staged = [settings['model']]
        self.active = 0
        self.channels = set()
        self.born = int(time.time() * 1000)
        super().__init__(record, store, name, settings['service'], serve)
        self.fleet[name] = self
        threading.Thread(target=self._watch_members, daemon=True).start()

    def _key(self):
        return self.group and (self.group['name'], self.group['epoch'])

    def _is_whole(self):
        """Return whether all members of the own group are there and in it."""
        group = self.group
        if not group:
            return False
        members = [self.fleet.get(name) for name in group['members']]
        return all(
            member and not member.exited and member._key() == self._key()
            for member in members
        )

    def _watch_members(self):
        """Break a head whose work has stalled for stallMs."""
        since_s = None
        while not self.exited:
            time.sleep(0.05)
            with self.lock:
                serves = self.group and self.group['rank'] == 0
                serves = serves and self.group['state'] in ('open', 'closing')
                if not serves or self._is_whole():
                    since_s = None
                    continue
                since_s = since_s or time.monotonic()
                if time.monotonic() - since_s > STALL_S:
                    self._set('broken')
                    self.record.line(f'runner {self.name} is broken')

    def proceed(self):
        """Wait while a member is missing; return false if that is for good."""
        key = self._key()
        while key and key == self._key() and not self.exited:
            if self.group['state'] not in ('open', 'closing'):
                return False
            if self._is_whole():
                return True
            time.sleep(0.02)
        return False

    def entry(self, state='ready'):
        entry = super().entry(state)
        entry.update(
            slots=self.settings['slots'],
            stage='both',
            domain=self.settings['domain'],
            staged=list(self.staged),
            models=[],
            born=self.born,
            sequence=self.sequence,
        )
        if self.group:
            entry['models'] = [
                {'name': self.group['model'], 'version': 1, 'adapters': []}
            ]
            entry['group'] = {
                key: self.group[key]
                for key in ('name', 'epoch', 'rank', 'state')
            }
        return entry

    def report(self):
        report = {
            'stage': 'both',
            'models': [],
            'busy': False,
            'sequence': self.sequence,
            'queued': 0,
            'active': self.active,
            'kvUsed': 0,
            'kvTotal': 900000,
            'handles': 0,
            'pace': 1.0,
            'born': self.born,
        }
        report.update(
            (key, entry)
            for key, entry in self.entry().items()
            if key in ('models', 'group', 'staged', 'domain')
        )
        return report

    def handle(self, handler):
        self.channels.add(handler.connection)
        try:
            if handler.path == '/v1/report':
                handler.respond(200, json.dumps(self.report()).encode())
            elif handler.path == '/v1/order':
                self._order(handler)
            else:
                self._request(handler)
        finally:
            self.channels.discard(handler.connection)

    def _request(self, handler):
        with self.lock:
            serves = self.group and self.group['state'] == 'open'
            serves = serves and self.group['rank'] == 0
        expected = handler.headers.get('X-Cowslipstep-Expect-Instance')
        if expected == self.name and not serves:
            handler.body()
            handler.respond(
                421, b'', [('X-Cowslipstep-Instance-Id', self.name)]
            )
            return
        self.active += 1
        try:
            if expected == self.name and not self.proceed():
                handler.body()
                headers = [
                    ('X-Cowslipstep-Not-Executed', '1'),
                    ('At-Server', self.name),
                ]
                handler.respond(503, b'', headers)
                return
            super().handle(handler)
        finally:
            self.active -= 1

    def _order(self, handler):
        order = json.loads(handler.body())
        if handler.headers.get('X-Cowslipstep-Expect-Instance', self.name) != (
            self.name
        ):
            handler.respond(421)
            return
        with self.lock:
            fence = order.get('fencingToken', 0)
            if fence < self.fence_seen:
                status = 412
            else:
                self.fence_seen = fence
                status = self._carry_out(order)
        self.record.line(f'order {status} at {self.name}: {json.dumps(order)}')
        handler.respond(status)

    def _carry_out(self, order):
        operation = order['operation']
        if operation == 'stage':
            return 200 if order['model'] in self.staged else 400
        key = (order['group'], order['epoch'])
        own = self.group and (self.group['name'], self.group['epoch'])
        if operation == 'join':
            return self._join(order, key, own)
        if own != key:
            return 409
        state = self.group['state']
        if operation == 'open':
            if state == 'open':
                return 200
            if state != 'ready' or self.group['rank']:
                return 409
            self._later(self.settings['form_s'], key, 'ready', 'open')
        elif operation == 'close':
            if state != 'open':
                return 200
            self._set('closing')
            threading.Thread(
                target=self._close, args=(key,), daemon=True
            ).start()
        elif operation == 'leave':
            self.group = None
            self.sequence += 1
            self.register()
        else:
            return 400
        return 202

    def _join(self, order, key, own):
        if order['epoch'] < self.epoch_seen:
            return 412
        if own == key:
            same = self.group['members'] == order['members']
            return 200 if same else 412
        self.epoch_seen = order['epoch']
        self.group = {
            'name': key[0],
            'epoch': key[1],
            'rank': order['members'].index(self.name),
            'members': order['members'],
            'model': order['model'],
        }
        again = order['model'] == self.last_model
        self.last_model = order['model']
        self._set('joining')
        delay_s = 0.2 if again else self.settings['warm_s']
        self._later(delay_s, key, 'joining', 'ready')
        return 202

    def _set(self, state):
        self.group['state'] = state
        self.sequence += 1
        self.register()

    def _later(self, delay_s, key, before, after):
        def change():
            with self.lock:
                own = self.group and (self.group['name'], self.group['epoch'])
                if not self.exited and own == key:
                    if self.group['state'] == before:
                        self._set(after)

        timer = threading.Timer(delay_s, change)
        timer.daemon = True
        timer.start()

    def _close(self, key):
        while self.active:
            time.sleep(0.05)
        self._later(0, key, 'closing', 'ready')

    def crash(self):
        """End at once: all channels are reset, and nothing is said."""
        self.exited = True
        threading.Thread(target=self.server.shutdown, daemon=True).start()
        self.server.socket.close()
        for channel in list(self.channels):
            try:
                channel.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    struct.pack('ii', 1, 0),
                )
                channel.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def register(self, state='ready'):
        if not self.exited:
            super().register(state)


def engine(model, size, slots, warm_s, form_s):
    """The `engine` of a service with one model."""
    return {
        'slots': slots,
        'kvCapacityTokens': 984705,
        'kvTokenBytes': 181816,
        'linkMbps': 400000.0,
        'stride': 5,
        'models': [
            {
                'name': model,
                'size': size,
                'share': 1.0,
                'pace': 1.0,
                'loadS': 12.0,
                'warmS': warm_s,
            }
        ],
        'step_ms': 7.8,
        'per_seq_ms': 0.18,
        'context_per_k': 0.018,
        'read_per_s': 45900.0,
        'pairs_per_m': 0.433,
        'chunk': 2048,
        'report_lag_ms': 200.0,
        'loadsPerS': 5.0,
        'loads_at_once': 7,
        'delays': [],
        'usual': {'prompt': 979, 'answer': 154},
        'cachedPrefixes': 1,
        'far_x': 2.5,
        'formMs': form_s * 1000,
    }


def free_ports(ip, count):
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((ip, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


SETTINGS = """
nodeName = "edge-{number}"
role = "daemon"
machineClass = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "north"
region = "land"
internalPorts = [{peer}, {peer}]
seeds = []
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","gangs"]
[zones]
north = "land"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
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
    """A daemon of the project, started with the command of the deploy file."""

    def __init__(self, record, store, folder, number):
        self.record = record
        self.number = number
        self.ip = daemon_ip(number)
        self.front, self.ready, peer = free_ports(self.ip, 3)
        self.settings = pathlib.Path(folder) / f'settings-{number}.toml'
        self.settings.write_text(
            SETTINGS.format(
                number=number,
                ip=self.ip,
                front=self.front,
                ready=self.ready,
                peer=peer,
                store=store.address,
            )
        )
        self.log = (pathlib.Path(folder) / f'daemon-{number}.log').open('ab')
        self.process = None

    def start(self):
        self.record.line(f'daemon {self.number} starts')
        self.process = subprocess.Popen(
            ['python3', '-m', 'cowslipstep_site'],
            cwd=ROOT,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/tmp'),
                'LANG': os.environ.get('LANG', 'C.UTF-8'),
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
                'COWSLIPSTEP_NODE_FILE': str(self.settings),
            },
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )

    def signal(self, number):
        self.record.line(f'daemon {self.number} gets signal {number}')
        self.process.send_signal(number)

    def is_ready(self):
        try:
            with socket.create_connection((self.ip, self.ready), 0.5) as sock:
                sock.settimeout(0.5)
                sock.sendall(
                    b'GET /v1/readiness HTTP/1.1\r\nHost: x\r\n'
                    b'Connection: close\r\n\r\n'
                )
                return sock.recv(64).startswith(b'HTTP/1.1 200')
        except OSError:
            return False

    def wait_ready(self, timeout_s=20):
        ends_s = time.monotonic() + timeout_s
        while time.monotonic() < ends_s:
            if self.is_ready():
                self.record.line(f'daemon {self.number} is ready')
                return
            time.sleep(0.1)
        raise CouldNotRun(f'daemon {self.number} is not ready')

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class CouldNotRun(Exception):
    """The case could not be played."""


class Answer:
    """What a caller got."""

    def __init__(self, status=0, headers=None, body=b'', complete=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.complete = complete


def request_bytes(request_id, method='GET', path='/book/1', body=b'', **headers):
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'X-Cowslipstep-Request-Id: {request_id}',
    ]
    if 'X_Cowslipstep_Deadline_Ms' not in headers:
        lines.append('X-Cowslipstep-Deadline-Ms: 6000')
    for name, text in headers.items():
        lines.append(f'{name.replace("_", "-")}: {text}')
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class Reader:
    """Reads HTTP/1.1 answers from a socket, byte for byte."""

    def __init__(self, sock):
        self.sock = sock
        self.held = b''

    def _more(self):
        received = self.sock.recv(65536)
        self.held += received
        return bool(received)

    def line(self):
        while b'\r\n' not in self.held:
            if not self._more():
                return None
        line, self.held = self.held.split(b'\r\n', 1)
        return line

    def exactly(self, size):
        while len(self.held) < size:
            if not self._more():
                return None
        part, self.held = self.held[:size], self.held[size:]
        return part

    def answer(self):
        line = self.line()
        if line is None:
            return Answer()
        status = int(line.split()[1])
        headers = {}
        while True:
            line = self.line()
            if line is None:
                return Answer(status, headers)
            if not line:
                break
            name, _, text = line.decode('latin-1').partition(':')
            headers[name.lower()] = text.strip()
        body = b''
        if headers.get('transfer-encoding', '').lower() == 'chunked':
            while True:
                size_line = self.line()
                if size_line is None:
                    return Answer(status, headers, body)
                size = int(size_line.split(b';')[0], 16)
                part = self.exactly(size + 2)
                if part is None:
                    return Answer(status, headers, body + self.held)
                body += part[:size]
                if not size:
                    return Answer(status, headers, body, True)
        part = self.exactly(int(headers.get('content-length') or 0))
        return Answer(status, headers, part or b'', part is not None)


def send_request(daemon, request, timeout_s=10):
    """Send one request on a new channel and return its answer."""
    try:
        with socket.create_connection((daemon.ip, daemon.front), 1) as sock:
            sock.settimeout(timeout_s)
            sock.sendall(request)
            return Reader(sock).answer()
    except OSError:
        return Answer()


LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 4194304,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 15000,
}


def route(name, prefix, kind, service, **more):
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': prefix,
        'kind': kind,
        'service': service,
        'timeoutMs': 6000,
        'targetLatencyMs': 400,
        'priority': 1,
        'maxAttempts': 2,
        'allowAnonymous': False,
        **more,
    }


def service(name):
    return {
        'name': name,
        'healthPath': '/health',
        'maxConnections': 110,
        'protocol': 'h1',
        'tls': False,
    }


def configuration(routes, services, version=7, **more):
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': LIMITS,
        **more,
    }


def play(folder, case):
    """Play ``case(record, store, folder, daemons)``; return the exit code."""
    record = Record(folder)
    daemons = []
    temporary = tempfile.mkdtemp(prefix='review-2-')
    try:
        if not (ROOT / 'target' / 'deps' / 'cowslipstep_site').is_dir():
            raise CouldNotRun('target/deps is missing: sh deploy/build.sh')
        code = case(record, Store(record), temporary, daemons)
    except CouldNotRun as error:
        record.line(f'could not run: {error}')
        code = NOT_RUN
    except Exception as error:
        record.line(f'could not run: {error!r}')
        code = NOT_RUN
    finally:
        for daemon in daemons:
            daemon.end()
        keep = os.environ.get('REVIEW_LOGS')
        if keep:
            shutil.copytree(temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(temporary, ignore_errors=True)
    record.line(f'exit {code}')
    print(f'exit {code}, see record.txt', file=sys.stderr)
    sys.stdout.flush()
    os._exit(code)


def start_daemons(record, store, folder, daemons, count):
    for number in range(1, count + 1):
        daemon = Daemon(record, store, folder, number)
        daemons.append(daemon)
        daemon.start()
    for daemon in daemons:
        daemon.wait_ready()
    # Daemons find each other and settle.
    time.sleep(2)
