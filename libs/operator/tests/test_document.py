"""A printed configuration parses to the one that was built."""

from __future__ import annotations

import pathlib
import runpy

import pytest

from cowslipstep.model import DocumentError, Fencing
from cowslipstep.operator import (
    build_configuration,
    print_configuration,
    rank,
    runners,
    workspace,
)
from cowslipstep.settings import parse_configuration

_ROOT = pathlib.Path(__file__).parents[3]


def test_printed_text_parses_to_what_was_built(
    capsys: pytest.CaptureFixture[str],
) -> None:
    built = build_configuration(
        ranks=[rank('urgent', target_first_token_s=1, floor_share=0.5)],
        runners=runners('ebene', ['10.0.0.1:80'], fencing=Fencing.ignored),
        workspaces=[workspace('firm', keys=['secret'], weight=2)],
        submission_id='one',
    )
    print_configuration(built, 'one')
    text = capsys.readouterr().out
    assert parse_configuration(text) == built
    assert 'secret' not in text


def test_all_mistakes_are_raised_with_their_paths() -> None:
    try:
        build_configuration(
            ranks=[rank('Urgent', target_first_token_s=-1)],
            runners=runners('ebene', ['nowhere']),
        )
    except* DocumentError as group:
        paths = [
            str(problem).partition(': ')[0] for problem in group.exceptions
        ]
    assert paths == [
        '$.ranks[0].name',
        '$.ranks[0].target_first_token_s',
        '$.runners[0].address',
    ]


@pytest.mark.parametrize('name', ['gridsight', 'tatranske_palicky'])
def test_examples_have_the_stated_sizes(name: str) -> None:
    example = _ROOT / 'examples' / f'{name}.py'
    built = runpy.run_path(str(example))['configuration']
    assert len(built.runners) == 60
    assert len(built.workspaces) == 10
    assert len(built.ranks) == 3
    assert len(built.services[0].addresses) == 3
    assert built.models[0].groups == 15
