"""Channels that requesters leave idle end a daemon's listener for good."""

import asyncio
import contextlib
import pathlib
import resource
import sys
import time

import standins as s

MAX_FDS = 4100
REQUESTER_PROCESSES = 5
REQUESTS_PER_S = 85  # all of them together; the sheet has 91 a second
LOAD_S = 55
CALM_S = 6
TRIES_S = 6
TRYING_REQUESTERS = 10


async def work(run, writer) -> bool:
    await asyncio.sleep(0.03)
    writer.write(s.response(200, b'done', *run.runner.signature(run)))
    return True


async def one_request(port: int, name: str, kept: list | None) -> bool:
    """Send a request on a new channel; keep the channel or close it."""
    lines = (
        'POST /records/x HTTP/1.1',
        f'Host: {s.HOST}',
        f'X-Cowslipstep-Request-Id: {name}',
        'X-Cowslipstep-Deadline-Ms: 1000',
        f'Authorization: Token {s.KEY}',
        'Content-Length: 0',
    )
    with contextlib.suppress(OSError, TimeoutError, ValueError):
        async with asyncio.timeout(2):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            if kept is not None:
                kept.append(writer)
            writer.write('\r\n'.join([*lines, '', '']).encode())
            head = await s.read_head(reader)
            if head is not None:
                await s.read_body(reader, head)
            if kept is None:
                writer.close()
            return head is not None and ' 200 ' in head.first
    return False


async def requesters(port: int, label: str, keeps: bool) -> None:
    """A process of requesters: a new channel for each request."""
    kept: list | None = [] if keeps else None
    served = []
    until = time.monotonic() + LOAD_S
    tasks = set()
    number = 0
    while time.monotonic() < until:
        number += 1

        async def ask(name: str) -> None:
            served.append(await one_request(port, name, kept))

        task = asyncio.create_task(ask(f'{label}-{number}'))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(REQUESTER_PROCESSES / REQUESTS_PER_S)
    await asyncio.gather(*tasks)
    print(sum(served), len(served), flush=True)
    for writer in kept or ():
        writer.transport.abort()


async def case(record, folder: pathlib.Path, trouble: bool) -> bool:
    if resource.getrlimit(resource.RLIMIT_NOFILE)[1] < MAX_FDS:
        raise s.CannotRun('the daemon cannot have maxFds descriptors')
    store = s.Store()
    await store.start()
    store.put(
        'config',
        'main',
        s.configuration(
            1,
            [s.route('/records/', 'idempotent', 'fieldbook', timeoutMs=1000)],
            {'fieldbook': False},
        ),
    )
    for number in range(1, 4):
        runner = s.Runner(store, record, f'i-{number:04d}', 'fieldbook')
        runner.respond = work
        await runner.start()
    daemon = s.Daemon(record, folder, 'daemon-1', store.address)

    def limit() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))

    helpers = []
    try:
        await daemon.start(limit=limit)
        await daemon.wait_ready()
        for number in range(REQUESTER_PROCESSES):
            helpers.append(
                await asyncio.create_subprocess_exec(
                    sys.executable,
                    'case.py',
                    str(daemon.front),
                    f'p{number}',
                    'keep' if trouble else 'close',
                    stdout=asyncio.subprocess.PIPE,
                )
            )
        record(f'{REQUESTER_PROCESSES} processes of requesters send requests')
        until = time.monotonic() + LOAD_S
        while time.monotonic() < until:
            await asyncio.sleep(5)
            descriptors = len(
                list(pathlib.Path(f'/proc/{daemon.process.pid}/fd').iterdir())
            )
            ready = await daemon.is_ready()
            record(f'descriptors of the daemon: {descriptors}; ready: {ready}')
        for helper in helpers:
            output, _ = await helper.communicate()
            record(f'served, sent: {output.decode().strip()}')
        await asyncio.sleep(CALM_S)
        taken = 0
        tried = 0
        looks = []
        until = time.monotonic() + TRIES_S
        while time.monotonic() < until:
            looks.append(await daemon.is_ready())
            results = await asyncio.gather(
                *(
                    one_request(daemon.front, s.new_id(), None)
                    for _ in range(TRYING_REQUESTERS)
                )
            )
            tried += len(results)
            taken += sum(results)
            await asyncio.sleep(0.5)
        record(
            f'{tried} tries of {TRYING_REQUESTERS} requesters in {TRIES_S} s, '
            f'{CALM_S} s after the load: {taken} served; ready at '
            f'{looks.count(True)} of {len(looks)} questions; the process '
            f'{"runs" if daemon.process.returncode is None else "has ended"}'
        )
        for line in daemon.log().splitlines():
            if 'Too many open files' in line:
                record(f'written by the daemon: {line}')
    finally:
        for helper in helpers:
            if helper.returncode is None:
                helper.kill()
        await daemon.end()
    print(taken, tried, looks.count(True), len(looks))
    return taken > 0 or not all(looks)


if len(sys.argv) > 1:
    asyncio.run(requesters(int(sys.argv[1]), sys.argv[2], sys.argv[3] == 'keep'))
else:
    s.run_case('.', case)
