"""Two services of model runners: requests run at the wrong service."""

import asyncio
import collections
import pathlib
import random
import time

import standins as s

BEFORE_S = 6.0
AFTER_S = 25.0
REQUESTERS = 4
RUNNERS = 4
FIRST_EVENT_S = 0.05
COLD_S = 60


async def stream(run, writer) -> bool:
    writer.write(run.runner.stream_head(run))
    await asyncio.sleep(FIRST_EVENT_S)
    for number in range(1, 5):
        writer.write(s.chunk(s.event(number)))
        await writer.drain()
        await asyncio.sleep(0.03)
    writer.write(s.chunk(b''))
    return True


def document(version: int, report_service: str, services: dict) -> dict:
    common = {
        'sessionAffinity': True,
        'streamResume': True,
        'targetGapMs': 300,
    }
    return s.configuration(
        version,
        [
            s.route('/draft/', 'streaming', 'drafter', **common),
            s.route('/report/', 'streaming', report_service, **common),
        ],
        services,
    )


async def case(record, folder: pathlib.Path, trouble: bool) -> bool:
    store = s.Store()
    await store.start()
    store.put('config', 'main', document(1, 'drafter', {'drafter': True}))
    runners = []
    rng = random.Random(1)

    async def add(service: str) -> None:
        for number in range(RUNNERS):
            name = f'i-{service}-{number}'
            runner = s.Runner(store, record, name, service, engine=True)
            runner.respond = stream
            runner.cold_until = time.monotonic() + COLD_S
            # Runners write approximately every heartbeatMs.
            runner.beat_s = s.BEAT_S + rng.uniform(-0.1, 0.1)
            await runner.start()
            runners.append(runner)

    await add('drafter')
    daemons = [
        s.Daemon(record, folder, f'daemon-{number}', store.address)
        for number in (1, 2)
    ]
    prefix_of = {}
    statuses = collections.defaultdict(collections.Counter)
    phase = ['before']
    ended = asyncio.Event()
    try:
        for daemon in daemons:
            await daemon.start()
        for daemon in daemons:
            await daemon.wait_ready()
        for _ in range(150):
            if sum(r._serves() for r in runners) == RUNNERS // 2:
                break
            await asyncio.sleep(0.1)
        else:
            raise s.CannotRun('the groups do not open')
        await asyncio.sleep(1)

        async def requester(number: int, prefix: str) -> None:
            while not ended.is_set():
                request = s.new_id()
                prefix_of[request] = prefix
                answer = await s.ask(
                    daemons[number % 2],
                    'POST',
                    f'{prefix}x',
                    request,
                    headers=(
                        ('X-Cowslipstep-Model', s.MODEL),
                        ('X-Cowslipstep-Token-Usage', '80,30'),
                        ('X-Cowslipstep-Prefix-Hash', f'5a5a0001:40,{request}:40'),
                    ),
                )
                statuses[phase[0], prefix][answer.status, answer.complete] += 1
                record(f'{prefix} {request}: {answer}')
                await asyncio.sleep(0.2)

        tasks = [
            asyncio.create_task(requester(number, prefix))
            for number in range(REQUESTERS)
            for prefix in ('/draft/', '/report/')
        ]
        await asyncio.sleep(BEFORE_S)
        if trouble:
            await add('reporter')
            store.put(
                'config',
                'main',
                document(2, 'reporter', {'drafter': True, 'reporter': True}),
            )
            record('version 2: /report/ moves to the service reporter')
        await asyncio.sleep(2)
        phase[0] = 'after'
        await asyncio.sleep(AFTER_S)
        ended.set()
        await asyncio.gather(*tasks)
    finally:
        for daemon in daemons:
            await daemon.end()
    groups = {
        r.name: (r.group['name'], r.group['rank'], r.group['state'])
        for r in runners
        if r.group
    }
    record(f'groups at the end: {groups}')
    for key, counts in statuses.items():
        record(f'{key}: {dict(counts)}')
    runs = collections.Counter(
        (prefix_of[run.id], runner.service)
        for runner in runners
        for run in runner.runs
    )
    record(f'runs by route and service: {dict(runs)}')
    print(dict(runs))
    return not runs['/draft/', 'reporter']


s.run_case('.', case)
