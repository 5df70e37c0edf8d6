"""One answer without an end stops a daemon for all requests."""

import asyncio
import itertools
import pathlib
import time

import standins as s

LENGTH_S = 40
STREAMS_PER_S = 5
RECORDS_PER_S = 10
STREAM_TIMEOUT_MS = 6000
RECORD_TIMEOUT_MS = 1000
# The requesters of records wait longer than the operator wants them to.
RECORD_REQUESTER_MS = 3000
GARBLE_EVERY = 34  # under 0.03 of the answers
PIECE_BYTES = 16


async def record_work(run, writer) -> bool:
    await asyncio.sleep(0.03)
    writer.write(s.response(200, b'done', *run.runner.signature(run)))
    return True


async def case(record, folder: pathlib.Path, trouble: bool) -> bool:
    store = s.Store()
    await store.start()
    store.put(
        'config',
        'main',
        s.configuration(
            1,
            [
                s.route(
                    '/records/',
                    'non_idempotent',
                    'fieldbook',
                    timeoutMs=RECORD_TIMEOUT_MS,
                ),
                s.route(
                    '/draft/',
                    'streaming',
                    'drafter',
                    timeoutMs=STREAM_TIMEOUT_MS,
                    targetGapMs=300,
                    streamResume=True,
                ),
            ],
            {'fieldbook': False, 'drafter': False},
        ),
    )
    garbled = set()
    answered = itertools.count(1)

    async def stream(run, writer) -> bool:
        writer.write(run.runner.stream_head(run))
        garbles = trouble and run.runner.name == 'i-garbling'
        if not garbles or next(answered) % GARBLE_EVERY:
            for number in range(1, 5):
                writer.write(s.chunk(s.event(number)))
                await writer.drain()
                await asyncio.sleep(0.03)
            writer.write(s.chunk(b''))
            return True
        garbled.add(run.id)
        record(f'{run.runner.name} answers {run.id} without an end')
        began = time.monotonic()
        pieces = s.chunk(b'x' * PIECE_BYTES) * 2000
        try:
            while True:
                writer.write(pieces)
                await writer.drain()
        finally:
            held_s = time.monotonic() - began
            record(f'the daemon closes the channel of {run.id}: {held_s:.1f} s')

    for name, service, respond in (
        ('i-garbling', 'drafter', stream),
        ('i-sound', 'drafter', stream),
        ('i-record-1', 'fieldbook', record_work),
        ('i-record-2', 'fieldbook', record_work),
    ):
        runner = s.Runner(store, record, name, service)
        runner.respond = respond
        await runner.start()
    daemon = s.Daemon(record, folder, 'daemon-1', store.address)
    answers = []
    looks = []
    tasks = []
    try:
        await daemon.start()
        await daemon.wait_ready()
        await asyncio.sleep(3.5)
        until = time.monotonic() + LENGTH_S

        async def ask(path: str, timeout_ms: int, deadline_ms: int) -> None:
            name = s.new_id()
            answer = await s.ask(daemon, 'POST', path, name, deadline_ms)
            answers.append((name, timeout_ms / 1000, answer))
            took_s = answer.ended_at - answer.sent_at
            if took_s > timeout_ms / 1000 or name in garbled:
                record(f'{path} {name}: {answer}')

        async def look() -> None:
            looks.append(await daemon.is_ready())

        async def each(period_s: float, call) -> None:
            while time.monotonic() < until:
                tasks.append(asyncio.create_task(call()))
                await asyncio.sleep(period_s)

        await asyncio.gather(
            each(1, look),
            each(
                1 / STREAMS_PER_S,
                lambda: ask('/draft/x', STREAM_TIMEOUT_MS, 8000),
            ),
            each(
                1 / RECORDS_PER_S,
                lambda: ask(
                    '/records/x', RECORD_TIMEOUT_MS, RECORD_REQUESTER_MS
                ),
            ),
        )
        await asyncio.gather(*tasks)
    finally:
        await daemon.end()

    def unanswered(after_s: float) -> list[str]:
        return [
            name
            for name, timeout_s, answer in answers
            if not answer.complete
            or answer.ended_at - answer.sent_at > timeout_s + after_s
        ]

    late = unanswered(0)
    held = unanswered(0.5)
    record(
        f'{len(answers)} requests, {len(garbled)} garbled; unanswered at '
        f'timeoutMs: {len(late)}; 0.5 s later: {len(held)}, of which '
        f'{len(set(held) - garbled)} were not garbled'
    )
    record(
        f'readiness: {looks.count(False)} of {len(looks)} questions '
        'without a 200'
    )
    print(len(answers), len(garbled), len(late), len(held), looks.count(False))
    return len(held) < 8 or len(held) <= len(late) / 2


s.run_case('.', case)
