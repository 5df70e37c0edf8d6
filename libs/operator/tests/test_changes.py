"""Differences between configurations are listed by the names of entries."""

from __future__ import annotations

from attrs import evolve

from cowslipstep.operator import (
    build_configuration,
    list_changes,
    rank,
    runners,
)

_BEFORE = build_configuration(
    ranks=[rank('urgent', target_first_token_s=1, worth=3)],
    runners=runners('ebene', ['10.0.0.1:80', '10.0.0.2:80']),
)


def test_an_equal_document_changes_nothing() -> None:
    assert not list_changes(_BEFORE, evolve(_BEFORE, submission_id='x'))


def test_changed_and_removed_entries_are_listed() -> None:
    after = evolve(
        _BEFORE,
        ranks=(evolve(_BEFORE.ranks[0], worth=4),),
        runners=_BEFORE.runners[1:],
    )
    worth, runner = map(str, list_changes(_BEFORE, after))
    assert worth == '$.ranks[urgent].worth: 3.0 -> 4'
    assert runner.startswith('$.runners[ebene-h1]: removed {"host"')
