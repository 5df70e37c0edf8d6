"""Short soaks of serving daemons, as processes of their own."""

from __future__ import annotations

import subprocess
import sys

import pytest

_MODULE = 'cowslipstep_standins.serving_soak'
_TIMEOUT_S = 60


# Streams were cut after their last event with these seeds.
@pytest.mark.parametrize('seed', [1, 2])
def test_streams_end_and_groups_stay_whole(seed: int) -> None:
    command = [sys.executable, '-W', 'ignore', '-m', _MODULE]
    ran = subprocess.run(
        [*command, '--seed', str(seed)],
        capture_output=True,
        text=True,
        check=False,
        timeout=_TIMEOUT_S,
    )
    assert ran.returncode == 0, ran.stdout + ran.stderr
