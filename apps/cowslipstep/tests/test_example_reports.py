"""Seeded days of both example fleets give the expected evening reports."""

from __future__ import annotations

import pathlib
import subprocess
import sys

_ROOT = pathlib.Path(__file__).parents[3]
_TIMEOUT_S = 100
_MISSED = (
    'urgent requests answered',
    'calls to plain services with uncertain outcome',
    'orders with uncertain outcome',
    'ranks below their floor in a flood: normal at 11:30',
    'groups of drafting serving',
)


def test_reports_of_both_fleets(tmp_path: pathlib.Path) -> None:
    subprocess.run(
        [sys.executable, _ROOT / 'bench' / 'evening_reports.py', tmp_path],
        check=True,
        timeout=_TIMEOUT_S,
    )
    text = (tmp_path / 'gridsight.txt').read_text()
    assert text.startswith('No: ')
    positions = [text.find(reason) for reason in _MISSED]
    assert min(positions) > 0 and positions == sorted(positions)
    assert 'floods: 08:10 to 09:10 background, 11:30 to 11:55' in text
    other = (tmp_path / 'tatranske_palicky.txt').read_text()
    assert other.startswith('Yes: all targets were reached')
    for page in tmp_path.glob('*.html'):
        assert page.read_text().count('<svg class="narrow"') >= 3
