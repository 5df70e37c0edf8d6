"""A daemon with invalid settings exits with one error line for each."""

from __future__ import annotations

import json
import os
import pathlib
import subprocess
import sys

import pytest

_TIMEOUT_S = 60
_EXIT_USAGE_ERROR = 2


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
def test_each_invalid_setting_is_reported(
    tmp_path: pathlib.Path,
    text: str,
    places: list[str],
) -> None:
    path = tmp_path / 'settings.json'
    path.write_text(text)
    completed = subprocess.run(
        [sys.executable, '-m', 'cowslipstep.daemon', str(path)],
        capture_output=True,
        text=True,
        timeout=_TIMEOUT_S,
    )
    assert completed.returncode == _EXIT_USAGE_ERROR
    lines = completed.stderr.splitlines()
    assert len(lines) == len(places)
    for line, place in zip(lines, places, strict=True):
        assert line.startswith(f'error: {place}: ')


def test_invalid_log_level_is_reported(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'settings.json'
    names = ('http_address', 'peer_address', 'platform_address')
    addresses = dict.fromkeys(names, '127.0.0.1:1')
    settings = {'name': 'd0', 'failure_domain': 'ebene', **addresses}
    path.write_text(json.dumps(settings))
    completed = subprocess.run(
        [sys.executable, '-m', 'cowslipstep.daemon', str(path)],
        capture_output=True,
        text=True,
        timeout=_TIMEOUT_S,
        env={**os.environ, 'COWSLIPSTEP_LOG_LEVEL': 'nonsense'},
    )
    assert completed.returncode == _EXIT_USAGE_ERROR
    assert completed.stderr.splitlines() == [
        "error: Level 'NONSENSE' does not exist",
    ]
