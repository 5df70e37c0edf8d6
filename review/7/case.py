"""A runner leaves while the store is away, and says so in all its answers."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True
import standins_2 as stand

STORE_AWAY_S = 8.0
LEAVES_AFTER_S = 0.8
# The runner goes on for drainMs and 3.5 s more, then it exits.
EXITS_AFTER_S = 5.5
WORK_S = 0.25
PERIOD_S = 0.1
DAEMONS = 3
RUNNERS = 3
CALLERS = 4


def work(runner, handler, request_id, body):
    time.sleep(WORK_S)
    if runner.exited:
        handler.close_connection = True
        return
    runner.answer(handler, request_id, body)


def case(record, store, folder, daemons):
    store.put(
        'config',
        'main',
        stand.configuration(
            [
                stand.route(
                    'r-book', '/book/', 'non_idempotent', 'book', maxAttempts=1
                )
            ],
            [stand.service('book')],
        ),
    )
    runners = [
        stand.Runner(record, store, f'i-{number}', serve=work)
        for number in range(1, RUNNERS + 1)
    ]
    for runner in runners:
        runner.register()
    stand.start_daemons(record, store, folder, daemons, DAEMONS)

    lock = threading.Lock()
    sent = {}
    told_s = {}
    status = {}
    ended = threading.Event()

    def call(daemon, caller):
        count = 0
        while not ended.is_set():
            count += 1
            request_id = f'd{daemon.number}-{caller}-{count:04d}'
            sent_s = record.now()
            with lock:
                sent[request_id] = (daemon.number, sent_s)
            answer = stand.send_request(daemon, stand.request_bytes(request_id, 'POST', body=b'order'))
            by = answer.headers.get('x-cowslipstep-instance-id')
            if answer.headers.get('server-leaving') == '1':
                with lock:
                    told_s.setdefault((daemon.number, by), record.now())
            with lock:
                status[request_id] = answer.status
            record.line(
                f'{request_id} sent {sent_s:.3f} got {answer.status} '
                f'{answer.body.decode()[:40]!r}'
            )
            time.sleep(PERIOD_S)

    threads = [
        threading.Thread(target=call, args=(daemon, caller), daemon=True)
        for daemon in daemons
        for caller in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(2)
    if stand.TROUBLE:
        record.line('the store falls silent')
        store.silent.set()
        away_s = time.monotonic()
    else:
        away_s = time.monotonic()
    time.sleep(LEAVES_AFTER_S)
    leaver = runners[0]
    leaver.leaving = True
    record.line(f'runner {leaver.name} leaves')
    if not stand.TROUBLE:
        # The store accepts the report; with the store away it cannot.
        leaver.register('draining')
    time.sleep(EXITS_AFTER_S)
    leaver.exit()
    record.line(f'runner {leaver.name} exits')
    time.sleep(STORE_AWAY_S - (time.monotonic() - away_s))
    if stand.TROUBLE:
        store.silent.clear()
        record.line('the store is back')
    store.remove('servers', leaver.name)
    time.sleep(1)
    ended.set()
    for thread in threads:
        thread.join(8)

    if stand.TROUBLE and not told_s:
        raise stand.CouldNotRun('no machine passed on Server-Leaving')
    late = []
    for at_s, request_id in leaver.arrivals:
        number, sent_s = sent[request_id]
        heard_s = told_s.get((number, leaver.name))
        if heard_s is not None and sent_s > heard_s + stand.DRAIN_S:
            late.append((request_id, sent_s - heard_s))
    for request_id, after_s in late:
        record.line(
            f'DRAIN {request_id} was sent {after_s:.3f} s after its machine '
            f'passed on Server-Leaving of {leaver.name}'
        )
    lost = [
        request_id
        for request_id, _ in late
        if status.get(request_id) not in (200, 503)
    ]
    record.line(
        f'requests {len(sent)}, late at the leaving runner {len(late)}, '
        f'of these without an answer of a runner {len(lost)}: {lost}'
    )
    return stand.BROKEN if late else stand.HELD


stand.play(FOLDER, case)
