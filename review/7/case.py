"""A faulty runner spoils the head of some answers."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True
import standins_2 as stand

DAEMONS = 2
RUNNERS = 4
FAULTY = 2
# One answer in 50 of half of the runners, for 5 s: share 0.5, x 0.02.
SPOIL_EACH = 50
SPOIL_S = 5
PLAY_S = 9
CALLERS = 4
PERIOD_S = 0.06


def chunked(body):
    half = len(body) // 2
    parts = (body[:half], body[half:])
    framed = b''.join(b'%x\r\n%s\r\n' % (len(part), part) for part in parts)
    return framed + b'0\r\n\r\n'


def whole_body(runner_name, request_id):
    return f'{runner_name} has run {request_id}. '.encode() * 20


class Faulty:
    """Answers in chunks; spoils some answers if there is trouble."""

    def __init__(self, record, is_faulty):
        self.record = record
        self.is_faulty = is_faulty
        self.answers = 0
        self.begins_s = self.ends_s = 0
        self.lock = threading.Lock()

    def __call__(self, runner, handler, request_id, _body):
        with self.lock:
            in_trouble = self.begins_s <= self.record.now() < self.ends_s
            if in_trouble:
                self.answers += 1
            spoils = (
                stand.TROUBLE
                and self.is_faulty
                and in_trouble
                and not self.answers % SPOIL_EACH
            )
            number = self.answers // SPOIL_EACH
        body = whole_body(runner.name, request_id)
        lines = [b'HTTP/1.1 200 OK']
        for name, text in runner.own_headers(request_id):
            lines.append(f'{name}: {text}'.encode())
        lines.append(f'X-Cowslipstep-Response-Signature: s.{request_id}'.encode())
        framing, framed = b'Transfer-Encoding: chunked', chunked(body)
        if spoils and number % 2:
            # One byte of the head is spoilt: the line is no header field.
            framing = b'Transfer-Encoding; chunked'
        elif spoils:
            # One digit of the length is spoilt, and the body is broken off.
            framing = b'Content-Length: %dO' % (len(body) // 10)
            framed = body[: len(body) // 2]
        lines.append(framing)
        if spoils:
            self.record.line(
                f'runner {runner.name} spoils {request_id}: {framing!r}, '
                f'{len(framed)} bytes sent, whole body {len(body)}'
            )
        handler.wfile.write(b'\r\n'.join(lines) + b'\r\n\r\n' + framed)
        handler.close_connection = True


def case(record, store, folder, daemons):
    store.put(
        'config',
        'main',
        stand.configuration(
            [
                stand.route('r-book', '/book/', 'idempotent', 'book'),
                stand.route(
                    'r-order', '/order/', 'non_idempotent', 'book', maxAttempts=1
                ),
            ],
            [stand.service('book')],
        ),
    )
    serves = []
    for number in range(1, RUNNERS + 1):
        serve = Faulty(record, number <= FAULTY)
        serves.append(serve)
        stand.Runner(record, store, f'i-{number}', serve=serve).register()
    stand.start_daemons(record, store, folder, daemons, DAEMONS)
    lock = threading.Lock()
    counts = {'sent': 0, 'mixed': 0}
    ended = threading.Event()

    def call(daemon, caller):
        count = 0
        while not ended.is_set():
            count += 1
            request_id = f'd{daemon.number}-{caller}-{count:04d}'
            is_order = caller % 2
            answer = stand.send_request(
                daemon,
                stand.request_bytes(
                    request_id,
                    'POST' if is_order else 'GET',
                    '/order/1' if is_order else '/book/1',
                    b'order' if is_order else b'',
                ),
            )
            runner = answer.headers.get('x-cowslipstep-instance-id')
            is_success = answer.complete and 200 <= answer.status < 300
            expected = whole_body(runner, request_id)
            is_mixed = is_success and answer.body != expected
            record.line(
                f'{request_id} got {answer.status} of {runner} '
                f'complete={int(answer.complete)} {len(answer.body)} bytes'
            )
            if is_mixed:
                record.line(
                    f'MIXED {request_id}: success with {len(answer.body)} '
                    f'bytes {answer.body[:60]!r}.., the whole body has '
                    f'{len(expected)} bytes {expected[:40]!r}..'
                )
            with lock:
                counts['sent'] += 1
                counts['mixed'] += is_mixed
            time.sleep(PERIOD_S)

    threads = [
        threading.Thread(target=call, args=(daemon, caller), daemon=True)
        for daemon in daemons
        for caller in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    for serve in serves:
        serve.begins_s = record.now() + 2
        serve.ends_s = serve.begins_s + SPOIL_S
    time.sleep(PLAY_S)
    ended.set()
    for thread in threads:
        thread.join(8)
    record.line(f'requests {counts["sent"]}, MIXED {counts["mixed"]}')
    return stand.BROKEN if counts['mixed'] else stand.HELD


stand.play(FOLDER, case)
