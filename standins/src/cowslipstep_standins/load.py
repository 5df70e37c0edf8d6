"""Load tool: seeded requests from parallel callers, checked answers."""

from __future__ import annotations

import concurrent.futures
import json
import random
from collections.abc import Callable, Iterable

import attrs
import typer

from cowslipstep_standins._caller import Call, Caller, Outcome

_RANKS = ('urgent', 'normal', 'background')
_MAX_TOKENS = 24
_ORDER_SHARE = 0.1
_KEYED_SHARE = 0.2

Choose = Callable[[int], str]


def mixed_calls(
    count: int,
    workspaces: tuple[str, ...],
    seed: int,
    services: bool = True,
) -> list[Call]:
    """Return requests of all ranks, streamed and not, some of them orders."""
    rng = random.Random(seed)
    return [_call(rng, index, workspaces, services) for index in range(count)]


def send_all(
    calls: Iterable[Call],
    choose: Choose,
    concurrency: int,
) -> list[Outcome]:
    """Send calls from parallel callers; ``choose`` gives each an address."""
    caller = Caller(concurrency)
    with concurrent.futures.ThreadPoolExecutor(concurrency) as pool:
        futures = [
            pool.submit(caller.send, choose(index), call)
            for index, call in enumerate(calls)
        ]
        return [future.result() for future in futures]


def run(
    addresses: list[str] = typer.Argument(help='daemons, ip:port'),
    requests: int = typer.Option(100, help='number of requests'),
    concurrency: int = typer.Option(8, help='callers at once'),
    workspaces: str = typer.Option('grid-a,grid-b', help='names'),
    seed: int = typer.Option(1, help='seed of the generator'),
) -> None:
    """Send requests and print one JSON line for each answer."""
    calls = mixed_calls(requests, tuple(workspaces.split(',')), seed)
    for outcome in send_all(
        calls,
        lambda index: addresses[index % len(addresses)],
        concurrency,
    ):
        typer.echo(json.dumps(attrs.asdict(outcome)))


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
        key = f'order-{rng.getrandbits(64):016x}'
        return Call(prompt, workspace, 'urgent', key=key, service=True)
    return Call(
        prompt,
        workspace,
        rng.choice(_RANKS),
        tokens=rng.randint(1, _MAX_TOKENS),
        stream=rng.random() < 0.5,
        key=_maybe_key(rng),
    )


def _maybe_key(rng: random.Random) -> str:
    if rng.random() < _KEYED_SHARE:
        return f'key-{rng.getrandbits(64):016x}'
    return ''


if __name__ == '__main__':
    main()
