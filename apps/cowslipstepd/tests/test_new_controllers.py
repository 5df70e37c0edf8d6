"""A new controller knows what earlier ones have done.

A controller that had just started formed groups from a list that was seconds
old, of members of groups that were open (review/6).
"""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from loguru import logger

from cowslipstep_standins.takeovers.play import play

SEEDS = range(80, 250)
_PACKAGE = 'cowslipstep'


@pytest.fixture(autouse=True)
def quiet() -> Iterator[None]:
    logger.disable(_PACKAGE)
    yield
    logger.enable(_PACKAGE)


@pytest.mark.parametrize('seed', SEEDS)
def test_no_member_of_an_open_group_joins_another(seed: int) -> None:
    played = play(seed)
    assert (played.broken, played.opened > 0) == ((), True)
