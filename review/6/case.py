"""Daemons are restarted in turn; first lists of the store may be stale."""

import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True
import standins_2 as stand

DAEMONS = 3
RUNNERS = 12
BEAT_S = 1.2
# How old the data of a call with staleOk=1 may be.
STALE_S = 3.0
ROUNDS = 20
PLAY_S = 100
MODEL = 'm-two'
ENGINE = {
    'service': 'draft',
    'model': MODEL,
    'slots': 9,
    'warm_s': 1.1,
    'form_s': 0.3,
    'domain': 'd1',
}


class Fleet:
    """The runners, which check each join against TWO."""

    def __init__(self, record, store):
        self.record = record
        self.store = store
        self.lock = threading.Lock()
        self.started = 0
        self.live = {}
        self.broken = []
        threading.Thread(target=self._beat, daemon=True).start()

    def start_one(self):
        with self.lock:
            self.started += 1
            name = f'i-{self.started:03d}'
        runner = CheckedRunner(self, name)
        with self.lock:
            self.live[name] = runner
        runner.register()
        return runner

    def drain(self, runner):
        """Planned: report draining, serve on for drainMs and a little longer."""
        self.record.line(f'runner {runner.name} drains')
        with runner.lock:
            runner.state = 'draining'
            runner.leaving = True
            runner.register()
        timer = threading.Timer(stand.DRAIN_S + 1, self._exit, (runner,))
        timer.daemon = True
        timer.start()

    def _exit(self, runner):
        with self.lock:
            self.live.pop(runner.name, None)
        runner.crash()
        self.store.remove('servers', runner.name)
        self.record.line(f'runner {runner.name} exits')

    def open_groups(self):
        """Return head and other member of each group whose head is open."""
        with self.lock:
            live = dict(self.live)
        return [
            (runner, live[runner.group['members'][1]])
            for runner in live.values()
            if runner.group
            and runner.group['rank'] == 0
            and runner.group['state'] == 'open'
            and runner.group['members'][1] in live
            and not any(live[name].leaving for name in runner.group['members'])
        ]

    def serves_again(self, kept):
        """Return whether a runner is in an open group without leavers."""
        return any(kept in group for group in self.open_groups())

    def _beat(self):
        while True:
            time.sleep(BEAT_S)
            with self.lock:
                live = list(self.live.values())
            for runner in live:
                with runner.lock:
                    runner.register()


class CheckedRunner(stand.EngineRunner):
    """A model runner that checks each join that it takes."""

    def __init__(self, fleet, name):
        self.runners = fleet
        self.state = 'ready'
        super().__init__(fleet.record, fleet.store, name, ENGINE, serve)

    def register(self, state=None):
        super().register(state or self.state)

    def _join(self, order, key, own):
        before = dict(self.group) if self.group else None
        status = super()._join(order, key, own)
        if status == 202 and before:
            head_name = before['members'][0]
            head = self.runners.live.get(head_name)
            state = before['state'] if head is self else None
            if head is not None and head is not self and head.group:
                same = (head.group['name'], head.group['epoch']) == own
                state = head.group['state'] if same else None
            if state in ('open', 'closing'):
                text = (
                    f'TWO {self.name} takes a join of {key[0]} while the head '
                    f'{head_name} of its group {before["name"]} is {state}'
                )
                self.runners.broken.append(text)
                self.record.line(text)
        return status


def serve(runner, handler, request_id, _body):
    headers = runner.own_headers(request_id)
    headers += [
        ('X-Cowslipstep-Response-Signature', f's.{request_id}'),
        ('Content-Type', 'text/event-stream'),
        ('Transfer-Encoding', 'chunked'),
    ]
    handler.send_response_only(200)
    for name, text in headers:
        handler.send_header(name, text)
    handler.end_headers()
    for number in range(5):
        if not runner.proceed():
            handler.close_connection = True
            return
        event = b'id: %d\ndata: %s\n\n' % (number, request_id.encode())
        handler.wfile.write(b'%x\r\n%s\r\n' % (len(event), event))
        time.sleep(0.03)
    handler.wfile.write(b'0\r\n\r\n')


class StaleReads:
    """Gives a call with staleOk=1 the data of a moment at most STALE_S ago."""

    def __init__(self, record, store):
        self.record = record
        self.store = store
        self.copies = []
        threading.Thread(target=self._keep, daemon=True).start()

    def _keep(self):
        last = None
        while True:
            copy = self.store.copy()
            if last is None or copy[0] != last:
                last = copy[0]
                self.copies.append((time.monotonic(), copy))
            del self.copies[:-400]
            time.sleep(0.01)

    def __call__(self):
        """Return the copy in which most runners are in no group."""
        oldest_s = time.monotonic() - STALE_S
        # The first one is what the store held at the oldest moment.
        recent = [kept for kept in self.copies if kept[0] >= oldest_s]
        earlier = [kept for kept in self.copies if kept[0] < oldest_s]
        allowed = earlier[-1:] + recent
        revision, objects = max(
            (copy for _, copy in allowed), key=lambda copy: free_runners(copy[1])
        )
        return revision, objects


def free_runners(objects):
    return sum(
        kind == 'servers'
        and 'group' not in stored['spec']
        and stored['spec']['state'] == 'ready'
        for (kind, _), stored in objects.items()
    )


def wait_for(condition, timeout_s):
    ends_s = time.monotonic() + timeout_s
    while time.monotonic() < ends_s:
        found = condition()
        if found:
            return found
        time.sleep(0.02)
    return None


def leading(store, daemons):
    """Return the daemon that last wrote to the store under a condition."""
    for daemon in daemons:
        if f'edge-{daemon.number}' == store.last_writer:
            return daemon
    raise stand.CouldNotRun('no daemon leads')


def play_round(record, store, fleet, daemons):
    """Stop the daemon that leads; start it again while runners leave."""
    stopped = leading(store, daemons)
    stopped.signal(signal.SIGTERM)
    stopped.process.wait(12)
    # Planned: two of the runners, of two groups, are emptied and leave.
    groups = wait_for(lambda: enough(fleet.open_groups()), 8)
    if not groups:
        raise stand.CouldNotRun('fewer than three groups are open')
    kept = [head for head, _ in groups[:2]]
    for _, member in groups[:2]:
        fleet.drain(member)
    if not wait_for(lambda: all(map(fleet.serves_again, kept)), 6):
        record.line('the runners that stay were not grouped again')
    stopped.start()
    if not wait_for(stopped.is_ready, 15):
        raise stand.CouldNotRun('a daemon is not ready')
    record.line(f'daemon {stopped.number} is ready, the next one is stopped')
    fleet.start_one()
    fleet.start_one()


def enough(groups):
    return groups if len(groups) >= 3 else None


def case(record, store, folder, daemons):
    store.put(
        'config',
        'main',
        stand.configuration(
            [
                stand.route(
                    'r-draft',
                    '/draft/',
                    'streaming',
                    'draft',
                    sessionAffinity=True,
                    streamResume=True,
                    targetGapMs=300,
                )
            ],
            [
                {
                    **stand.service('draft'),
                    'engine': stand.engine(
                        MODEL, 2, ENGINE['slots'], 1.1, ENGINE['form_s']
                    ),
                }
            ],
        ),
    )
    fleet = Fleet(record, store)
    for _ in range(RUNNERS):
        fleet.start_one()
    stand.start_daemons(record, store, folder, daemons, DAEMONS)
    if stand.TROUBLE:
        store.stale = StaleReads(record, store)
    time.sleep(5)
    ended = threading.Event()

    def traffic(daemon):
        count = 0
        while not ended.is_set():
            count += 1
            request_id = f'd{daemon.number}-{count:05d}'
            answer = stand.send_request(
                daemon,
                stand.request_bytes(
                    request_id,
                    'POST',
                    '/draft/1',
                    b'prompt',
                    X_Cowslipstep_Model=MODEL,
                    X_Cowslipstep_Token_Usage='600,50',
                ),
            )
            if answer.status != 200:
                record.line(f'{request_id} got {answer.status}')
            time.sleep(0.25)

    for daemon in daemons:
        threading.Thread(target=traffic, args=(daemon,), daemon=True).start()
    for number in range(ROUNDS):
        if record.now() > PLAY_S - 15 or fleet.broken:
            break
        record.line(f'round {number + 1}')
        play_round(record, store, fleet, daemons)
    ended.set()
    record.line(f'rounds {number + 1}, TWO broken {len(fleet.broken)} times')
    return stand.BROKEN if fleet.broken else stand.HELD


stand.play(FOLDER, case)
