"""Plays one script of controllers that take over from each other."""

from __future__ import annotations

from attrs import frozen

from cowslipstep_standins.takeovers._controlled_fleet import controlled_fleet

# Reading of the simulated clock at the end of a script.
_ENDS_S = 35


@frozen
class PlayedScript:
    """Result of a script.

    Attributes
    ----------
    seed
        Seed of the script.
    broken
        Joins of members of open groups.
    opened
        How many groups were opened.
    """

    seed: int
    broken: tuple[str, ...]
    opened: int


def play(seed: int) -> PlayedScript:
    """Play the script of a seed."""
    with controlled_fleet(seed) as fleet:
        fleet.play(_ENDS_S)
        commands = fleet.commands
        return PlayedScript(seed, tuple(commands.broken), commands.opened)
