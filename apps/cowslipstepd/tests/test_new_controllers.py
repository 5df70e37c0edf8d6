"""A new controller knows what earlier ones have done.

A controller that had just started formed groups from a list that was seconds
old, of members of groups that were open (review/6).
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import pytest
from _controlled_fleet import controlled_fleet
from loguru import logger

SEEDS = range(80, 250)
_PLAYED_S = 35
_PACKAGE = 'cowslipstep'


@contextlib.contextmanager
def quiet() -> Iterator[None]:
    """Log nothing in the block."""
    logger.disable(_PACKAGE)
    yield
    logger.enable(_PACKAGE)


def played(seed: int) -> tuple[list[str], int]:
    """Return the joins that broke the rule, and how many groups were opened."""
    with quiet(), controlled_fleet(seed) as fleet:
        fleet.play(_PLAYED_S)
        return fleet.commands.broken, fleet.commands.opened


@pytest.mark.parametrize('seed', SEEDS)
def test_no_member_of_an_open_group_joins_another(seed: int) -> None:
    broken, opened = played(seed)
    assert (broken, opened > 0) == ([], True)
