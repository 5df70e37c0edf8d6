"""Plays scripts of controllers that take over, one for each seed.

Each script plays seconds of simulated time: controllers stop, are killed and
start, lists are stale, reads are slow, commands are carried out late, and the
store forgets its history or comes back from an older copy. No member of an
open group may join another one.
"""

from __future__ import annotations

import json
from typing import Annotated

import typer
from loguru import logger

from cowslipstep_standins.takeovers.play import play


def run(
    seed: Annotated[int, typer.Option(help='first seed')] = 0,
    seeds: Annotated[int, typer.Option(help='number of seeds')] = 1,
) -> None:
    """Play scripts; exit with 1 if a join broke the rule."""
    logger.remove()
    played = [play(number) for number in range(seed, seed + seeds)]
    broken = [script for script in played if script.broken]
    for failed in broken:
        typer.echo(json.dumps({'seed': failed.seed, 'broken': failed.broken}))
    opened = sum(script.opened for script in played)
    typer.echo(f'{seeds} scripts, {opened} groups opened, {len(broken)} broken')
    raise typer.Exit(int(bool(broken)))


if __name__ == '__main__':
    typer.run(run)
