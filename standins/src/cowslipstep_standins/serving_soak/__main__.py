"""Soak of serving daemons: stale lists, silences, restarts and leavers.

Real daemons serve streams of runners in groups. Lists may be seconds old,
runners fall silent at any moment of a response, and meanwhile daemons stop,
are killed and start, settings are reloaded, and runners come and leave, all
drawn from a seed. No member of an open group may join another one, and no
stream may be cut after its last event.
"""

from __future__ import annotations

import eventlet

eventlet.monkey_patch()

import json  # noqa: E402
import random  # noqa: E402
from collections.abc import Mapping  # noqa: E402
from typing import Annotated  # noqa: E402

import typer  # noqa: E402

from cowslipstep_standins.serving_soak._disturbances import (  # noqa: E402
    disturb,
)
from cowslipstep_standins.serving_soak._soaked_fleet import (  # noqa: E402
    soaked_fleet,
)
from cowslipstep_standins.serving_soak._streams import (  # noqa: E402
    StreamLoad,
)

_START_S = 6
# Parts of a report that must be empty.
_RULES = ('two', 'cut', 'mixed')


def soak(seed: int, seconds: float) -> dict[str, object]:
    """Run one soak; return what was seen."""
    with soaked_fleet(seed) as fleet:
        eventlet.sleep(_START_S)
        load = StreamLoad(fleet)
        load.start()
        disturb(fleet, random.Random(seed), seconds)
        # As of now: requests go on until the daemons have ended.
        return {
            'seed': seed,
            'two': tuple(fleet.commands.broken),
            'cut': tuple(load.cut),
            'mixed': tuple(load.mixed),
            'whole': load.whole,
            'opened': fleet.commands.opened,
        }


def is_broken(report: Mapping[str, object]) -> bool:
    """Return whether a soak broke a rule."""
    return any(report[rule] for rule in _RULES)


def run(
    seed: Annotated[int, typer.Option(help='first seed')] = 1,
    seeds: Annotated[int, typer.Option(help='number of seeds')] = 1,
    seconds: Annotated[float, typer.Option(help='duration of a seed')] = 15,
) -> None:
    """Run soaks one after the other; exit with 1 on a broken rule."""
    broken = 0
    for number in range(seed, seed + seeds):
        report = soak(number, seconds)
        typer.echo(json.dumps(report))
        broken += is_broken(report)
    raise typer.Exit(int(broken > 0))


if __name__ == '__main__':
    typer.run(run)
