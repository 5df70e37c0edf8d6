"""A daemon with wrong settings ends with one line for each mistake."""

from __future__ import annotations

import json
import os
import pathlib
import subprocess
import sys

import pytest

_TIMEOUT_S = 60
_WRONG_USE = 2


@pytest.mark.parametrize(
    ('text', 'places'),
    [
        ('{', ['$']),
        (
            '{"name": "", "http_address": "localhost:80", "typo": 1}',
            [
                '$.failure_domain',
                '$.peer_address',
                '$.platform_address',
                '$.typo',
                '$.name',
                '$.http_address',
            ],
        ),
    ],
)
def test_wrong_settings(
    tmp_path: pathlib.Path,
    text: str,
    places: list[str],
) -> None:
    path = tmp_path / 'settings.json'
    path.write_text(text)
    ended = subprocess.run(
        [sys.executable, '-m', 'cowslipstep.daemon', str(path)],
        capture_output=True,
        text=True,
        timeout=_TIMEOUT_S,
    )
    assert ended.returncode == _WRONG_USE
    lines = ended.stderr.splitlines()
    assert len(lines) == len(places)
    for line, place in zip(lines, places, strict=True):
        assert line.startswith(f'error: {place}: ')


def test_a_wrong_log_level(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'settings.json'
    names = ('http_address', 'peer_address', 'platform_address')
    addresses = dict.fromkeys(names, '127.0.0.1:1')
    settings = {'name': 'd0', 'failure_domain': 'ebene', **addresses}
    path.write_text(json.dumps(settings))
    ended = subprocess.run(
        [sys.executable, '-m', 'cowslipstep.daemon', str(path)],
        capture_output=True,
        text=True,
        timeout=_TIMEOUT_S,
        env={**os.environ, 'COWSLIPSTEP_LOG_LEVEL': 'nonsense'},
    )
    assert ended.returncode == _WRONG_USE
    assert ended.stderr.splitlines() == [
        "error: Level 'NONSENSE' does not exist",
    ]
