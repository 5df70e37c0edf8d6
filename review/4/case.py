"""Poisoned prompts: sound requests of the same route are refused for good."""

import asyncio
import itertools
import pathlib
import time

import standins as s

GROUPS = 2
BACK_AFTER_S = 4.0
BASELINE_S = 8.0
TROUBLE_S = 30.0
POISON_EVERY_S = 2.5
SOUND_REQUESTERS = 12
FIRST_EVENT_S = 0.25
STABILITY_S = s.STABILITY_MS / 1000


class World:
    def __init__(self, record) -> None:
        self.record = record
        self.store = s.Store()
        self.runners = []
        self.names = itertools.count(1)
        self.crashes = []
        self.tasks = []
        self.begun = set()

    async def add_runner(self) -> None:
        name = f'i-{next(self.names):04d}'
        runner = s.Runner(self.store, self.record, name, 'drafter', engine=True)
        runner.respond = lambda run, writer: self.respond(runner, run, writer)
        await runner.start()
        self.runners.append(runner)

    async def respond(self, runner, run, writer) -> bool:
        """Write a stream; a poisoned request crashes the runner."""
        parts = run.head.get('x-cowslipstep-prefix-hash')
        writer.write(runner.stream_head(run))
        await writer.drain()
        await asyncio.sleep(FIRST_EVENT_S)
        if 'dead0001:' in parts:
            self.tasks.append(asyncio.create_task(self.crash(runner)))
            await asyncio.sleep(1)
            return False
        self.begun.add(run.id)
        for number in range(1, 7):
            writer.write(s.chunk(s.event(number)))
            await writer.drain()
            await asyncio.sleep(0.04)
        writer.write(s.chunk(b''))
        return True

    async def crash(self, runner) -> None:
        if not runner.alive:
            return
        self.crashes.append(time.monotonic())
        self.tasks.append(asyncio.create_task(self.replace()))
        await runner.crash(BACK_AFTER_S)

    async def replace(self) -> None:
        await asyncio.sleep(BACK_AFTER_S)
        await self.add_runner()


def headers(*parts: str) -> tuple[tuple[str, str], ...]:
    listed = ','.join(f'{part}:40' for part in parts)
    return (
        ('X-Cowslipstep-Model', s.MODEL),
        ('X-Cowslipstep-Token-Usage', f'{40 * len(parts)},30'),
        ('X-Cowslipstep-Prefix-Hash', listed),
    )


async def case(record, folder: pathlib.Path, trouble: bool) -> bool:
    world = World(record)
    await world.store.start()
    world.store.put(
        'config',
        'main',
        s.configuration(
            1,
            [
                s.route(
                    '/draft/',
                    'streaming',
                    'drafter',
                    sessionAffinity=True,
                    streamResume=True,
                    targetGapMs=300,
                )
            ],
            {'drafter': True},
        ),
    )
    for _ in range(2 * GROUPS):
        await world.add_runner()
    daemons = [
        s.Daemon(record, folder, f'daemon-{number}', world.store.address)
        for number in (1, 2)
    ]
    sound = []
    ended = asyncio.Event()
    try:
        for daemon in daemons:
            await daemon.start()
        for daemon in daemons:
            await daemon.wait_ready()
        for _ in range(150):
            if sum(r._serves() for r in world.runners) == GROUPS:
                break
            await asyncio.sleep(0.1)
        else:
            raise s.CannotRun('the groups do not open')
        await asyncio.sleep(1)
        record('groups serve; sound requests begin')

        async def sound_requester(number: int) -> None:
            turn = itertools.cycle(daemons[number % 2 :] + daemons[: number % 2])
            while not ended.is_set():
                request = s.new_id()
                answer = await s.ask(
                    next(turn),
                    'POST',
                    '/draft/x',
                    request,
                    headers=headers('5a5a0001', f'c0{number:02d}', request),
                )
                sound.append((answer.sent_at, request in world.begun, answer))
                record(f'sound {request}: {answer}')
                await asyncio.sleep(0.25)

        requesters = [
            asyncio.create_task(sound_requester(number))
            for number in range(SOUND_REQUESTERS)
        ]
        await asyncio.sleep(BASELINE_S)
        trouble_from = time.monotonic()
        turn = itertools.cycle(daemons)
        poisoned = []

        async def poisoned_request() -> None:
            request = s.new_id()
            parts = headers('5a5a0001', f'c0{len(poisoned) % 6:02d}', 'dead0001', request)
            answer = await s.ask(
                next(turn), 'POST', '/draft/x', request, headers=parts
            )
            poisoned.append(answer)
            record(f'poisoned {request}: {answer}')

        while time.monotonic() < trouble_from + TROUBLE_S:
            if trouble:
                world.tasks.append(asyncio.create_task(poisoned_request()))
            await asyncio.sleep(POISON_EVERY_S)
        ended.set()
        await asyncio.gather(*requesters)
    finally:
        for daemon in daemons:
            await daemon.end()
        for task in world.tasks:
            task.cancel()
    if trouble and not world.crashes:
        raise s.CannotRun('no runner crashed')
    judged_crash = world.crashes[:5][-1] if world.crashes else trouble_from
    judged_from = judged_crash + 2 * STABILITY_S
    before = [begun for at, begun, _ in sound if at < trouble_from - 1]
    after = [begun for at, begun, _ in sound if at >= judged_from]
    record(
        f'{len(world.crashes)} crashes at '
        + ', '.join(f'{at - trouble_from:.1f} s' for at in world.crashes)
        + ' after the first poisoned request'
    )
    serving = sum(r.alive and r._serves() for r in world.runners)
    record(f'{serving} groups are open at the end')
    record(
        f'sound requests that began: {sum(before)} of {len(before)} before, '
        f'{sum(after)} of {len(after)} from 2 x stabilityWindowMs after the '
        'fifth (or last) crash'
    )
    if len(before) < 20 or len(after) < 20:
        raise s.CannotRun('fewer than 20 sound requests')
    return sum(after) / len(after) >= 0.5 * sum(before) / len(before)


s.run_case('.', case)
