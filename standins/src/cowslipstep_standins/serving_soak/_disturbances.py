"""What befalls a soaked fleet, drawn from a seed."""

from __future__ import annotations

import itertools
import random
import time

import eventlet

from cowslipstep_standins.serving_soak._soaked_fleet import SoakedFleet

_EVENTS = (
    'stop',
    'kill',
    'start',
    'start',
    'reload',
    'leave',
    'come',
    *itertools.repeat('hand over', 3),
)
_PAUSES_S = (0.1, 0.4, 1, 2)
# Times in which runners form groups again, and in which a daemon starts.
_REGROUPING_S = (0.3, 1.5)
_STARTING_S = (0.2, 1)


def disturb(fleet: SoakedFleet, chance: random.Random, seconds: float) -> None:
    """Let things happen at random for some seconds."""
    ends_s = time.monotonic() + seconds
    while time.monotonic() < ends_s:
        _happen(fleet, chance)
        eventlet.sleep(chance.choice(_PAUSES_S))


def _happen(fleet: SoakedFleet, chance: random.Random) -> None:
    daemon = chance.choice(fleet.daemons)
    match chance.choice(_EVENTS):
        case 'stop':
            fleet.controller.end(planned=True)
        case 'kill':
            daemon.end(planned=False)
        case 'reload':
            daemon.reload()
        case 'leave':
            fleet.runners.drain_one()
        case 'come':
            fleet.start_runner()
        case 'hand over':
            _hand_over(fleet, chance)
        case _:
            fleet.start_daemons()


def _hand_over(fleet: SoakedFleet, chance: random.Random) -> None:
    """Stop the controller soon after runners left and a daemon started."""
    for _ in range(2):
        fleet.runners.drain_one()
        fleet.start_runner()
    eventlet.sleep(chance.uniform(*_REGROUPING_S))
    fleet.start_daemons()
    eventlet.sleep(chance.uniform(*_STARTING_S))
    fleet.controller.end(planned=True)
