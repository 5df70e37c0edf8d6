"""Load tool: parallel callers send seeded requests and check responses."""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Annotated

import attrs
import typer

from cowslipstep_standins._caller import Caller
from cowslipstep_standins._outcomes import Call, Outcome

_RANKS = ('urgent', 'normal', 'background')
_MAX_TOKENS = 24
_ORDER_SHARE = 0.1
_KEYED_SHARE = 0.2
_STREAM_SHARE = 0.5
_KEY_BYTES = 8

ChooseAddress = Callable[[int], str]


def mixed_calls(
    count: int,
    workspaces: tuple[str, ...],
    seed: int,
    services: bool = True,
) -> list[Call]:
    """Return calls of all ranks, streamed or not; some of them are orders."""
    rng = random.Random(seed)
    return [_call(rng, index, workspaces, services) for index in range(count)]


def send_all(
    calls: Iterable[Call],
    choose: ChooseAddress,
    concurrency: int,
) -> list[Outcome]:
    """Send calls from parallel callers; ``choose`` gives the addresses."""
    caller = Caller(concurrency)
    with ThreadPoolExecutor(concurrency) as pool:
        futures = [
            pool.submit(caller.send, choose(index), call)
            for index, call in enumerate(calls)
        ]
        return [future.result() for future in futures]


def run(
    addresses: Annotated[list[str], typer.Argument(help='ip:port of daemons')],
    requests: Annotated[int, typer.Option(help='number of requests')] = 100,
    concurrency: Annotated[int, typer.Option(help='parallel callers')] = 8,
    workspaces: Annotated[
        str, typer.Option(help='comma-separated names')
    ] = 'grid-a,grid-b',
    seed: Annotated[int, typer.Option(help='seed of the requests')] = 1,
) -> None:
    """Send requests and print one JSON line for each outcome."""
    calls = mixed_calls(requests, tuple(workspaces.split(',')), seed)
    for outcome in send_all(calls, round_robin(addresses), concurrency):
        typer.echo(json.dumps(attrs.asdict(outcome)))


def round_robin(addresses: Sequence[str]) -> ChooseAddress:
    """Return a function that maps call numbers to addresses round robin."""
    return lambda index: addresses[index % len(addresses)]


def main() -> None:
    """Entry point of ``cowslipstep-load``."""
    typer.run(run)


def _call(
    rng: random.Random,
    index: int,
    workspaces: tuple[str, ...],
    services: bool,
) -> Call:
    prompt = f'request {index} of seed {rng.random()}'
    workspace = rng.choice(workspaces)
    if services and rng.random() < _ORDER_SHARE:
        key = _random_key(rng)
        return Call(prompt, workspace, 'urgent', key=key, service=True)
    return Call(
        prompt,
        workspace,
        rng.choice(_RANKS),
        tokens=rng.randint(1, _MAX_TOKENS),
        stream=rng.random() < _STREAM_SHARE,
        key=_random_key(rng) if rng.random() < _KEYED_SHARE else '',
    )


def _random_key(rng: random.Random) -> str:
    return rng.randbytes(_KEY_BYTES).hex()


if __name__ == '__main__':
    main()
