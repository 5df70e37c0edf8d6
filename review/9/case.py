"""Runners fall silent for a second after the last event of a stream."""

import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True
import standins_2 as stand

DAEMONS = 2
RUNNERS = 3
EVENTS = 8
SILENCE_S = 1.0
CONFIG_APPLY_S = 2.0
ROUNDS = 4
CALLERS = 4


def serve(runner, handler, request_id, _body):
    """Stream events; a sound server may fall silent for a second or so."""
    last = handler.headers.get('Last-Event-Id')
    first = 0 if last is None else int(last) + 1
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
    for number in range(first, EVENTS):
        event = b'id: %d\ndata: %s-%d\n\n' % (number, request_id.encode(), number)
        handler.wfile.write(b'%x\r\n%s\r\n' % (len(event), event))
        time.sleep(0.05)
    if stand.TROUBLE and first == 0:
        time.sleep(SILENCE_S)
    handler.wfile.write(b'0\r\n\r\n')


def whole_body(request_id):
    return b''.join(
        b'id: %d\ndata: %s-%d\n\n' % (number, request_id.encode(), number)
        for number in range(EVENTS)
    )


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
                    streamResume=True,
                    targetGapMs=300,
                )
            ],
            [stand.service('draft')],
        ),
    )
    for number in range(1, RUNNERS + 1):
        stand.Runner(
            record, store, f'i-{number}', service='draft', serve=serve
        ).register()
    stand.start_daemons(record, store, folder, daemons, DAEMONS)
    lock = threading.Lock()
    cut, answered = [], []

    def call(daemon, request_id, sighup_s):
        sent_s = record.now()
        answer = stand.send_request(
            daemon, stand.request_bytes(request_id, 'POST', '/draft/1', b'prompt')
        )
        whole = answer.complete and answer.status == 200
        record.line(
            f'{request_id} sent {sent_s - sighup_s:.3f} s after the SIGHUP got '
            f'{answer.status} complete={int(answer.complete)} '
            f'{len(answer.body)} bytes'
        )
        with lock:
            answered.append(request_id)
            if answer.status == 200 and not answer.complete:
                cut.append(request_id)
                record.line(
                    f'LOST {request_id}: passed on to a runner that goes on, cut '
                    f'after {len(answer.body)} of {len(whole_body(request_id))} '
                    f'bytes {record.now() - sent_s:.3f} s after it was sent'
                )

    for number in range(ROUNDS):
        daemon = daemons[number % DAEMONS]
        daemon.signal(signal.SIGHUP)
        sighup_s = record.now()
        time.sleep(0.2)
        threads = [
            threading.Thread(
                target=call,
                args=(daemon, f'd{daemon.number}-{number}-{caller}', sighup_s),
                daemon=True,
            )
            for caller in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
            time.sleep(0.1)
        for thread in threads:
            thread.join(9)
        time.sleep(1)
    record.line(f'streams {len(answered)}, cut {len(cut)}')
    return stand.BROKEN if cut else stand.HELD


stand.play(FOLDER, case)
