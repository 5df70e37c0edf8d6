"""Each error in a configuration is reported, with its path."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cowslipstep.model import Configuration, DocumentError
from cowslipstep.settings import parse_configuration, parse_daemon_settings

_DIGEST = 'a' * 64

LEAVES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(),
)
BROKEN = st.recursive(
    LEAVES,
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=6,
)


def _document() -> dict[str, Any]:
    address = '10.0.0.1:80'
    return {
        'ranks': [{'name': 'urgent', 'target_first_token_s': 1}],
        'workspaces': [{'name': 'firm', 'key_sha256': [_DIGEST]}],
        'models': [{'name': 'drafting', 'groups': 1, 'hosts_per_group': 1}],
        'runners': [
            {
                'host': 'h1',
                'address': address,
                'failure_domain': 'ebene',
                'fabric_domain': 'ebene',
            },
        ],
        'services': [{'name': 'records', 'addresses': ['10.0.0.2:80']}],
    }


def _paths(text: str | bytes) -> set[str]:
    try:
        parse_configuration(text)
    except* DocumentError as group:
        paths = {
            str(problem).partition(': ')[0] for problem in group.exceptions
        }
    return paths


def test_a_valid_document_is_accepted() -> None:
    parsed = parse_configuration(json.dumps(_document()))
    assert parsed.runners[0].host == 'h1'


def test_invalid_values_are_reported_all_at_once() -> None:
    document = _document()
    document['ranks'][0] |= {'worth': -1, 'floor_share': 2, 'name': 'A B'}
    document['workspaces'][0]['key_sha256'] = ['secret']
    document['runners'][0]['address'] = 'host:80'
    document['services'][0]['addresses'] = ['10.0.0.2:99999']
    document['typo'] = 1
    assert _paths(json.dumps(document)) == {
        '$.ranks[0].worth',
        '$.ranks[0].floor_share',
        '$.ranks[0].name',
        '$.workspaces[0].key_sha256',
        '$.runners[0].address',
        '$.services[0].addresses[0]',
        '$.typo',
    }


def test_contradictions_are_reported_all_at_once() -> None:
    document = _document()
    document['ranks'] = [
        {'name': name, 'target_first_token_s': 1, 'floor_share': 0.6}
        for name in ('urgent', 'normal')
    ]
    document['workspaces'].append({'name': 'firm', 'key_sha256': [_DIGEST]})
    document['models'][0]['hosts_per_group'] = 4
    document['services'][0]['addresses'] = ['10.0.0.1:80']
    document['services'].append({'name': 'empty'})
    assert _paths(json.dumps(document)) == {
        '$.ranks',
        '$.workspaces[1].name',
        '$.workspaces[1].key_sha256[0]',
        '$.models',
        '$.models[0].hosts_per_group',
        '$.services[0].addresses[0]',
        '$.services[1].addresses',
    }


@pytest.mark.parametrize(
    'text',
    ['', '{', '[1', 'NaN', '{"a": 1, "a": 2}', '[' * 100000, b'\xff\xfe\x00'],
)
def test_text_that_is_not_json_is_reported(text: str | bytes) -> None:
    assert _paths(text) == {'$'}


def test_numbers_out_of_range_are_reported() -> None:
    text = json.dumps(_document()).replace(
        '"target_first_token_s": 1',
        '"target_first_token_s": 1e999',
    )
    assert _paths(text) == {'$.ranks[0].target_first_token_s'}


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    section=st.sampled_from(sorted(_document())),
    member=st.sampled_from(['name', 'host', 'address', 'groups', 'worth']),
    broken=BROKEN,
    whole=st.booleans(),
)
def test_broken_values_raise_only_document_errors(
    section: str,
    member: str,
    broken: Any,
    whole: bool,
) -> None:
    document = _document()
    if whole:
        document[section] = broken
    else:
        document[section][0][member] = broken
    _parse_or_refuse(json.dumps(document))


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    start=st.integers(0, 400),
    removed=st.integers(0, 40),
    inserted=st.binary(max_size=12),
)
def test_broken_bytes_raise_only_document_errors(
    start: int,
    removed: int,
    inserted: bytes,
) -> None:
    text = json.dumps(_document()).encode()
    head = text[:start]
    tail = text[start + removed :]
    _parse_or_refuse(head + inserted + tail)


def _parse_or_refuse(text: str | bytes) -> None:
    for parse in (parse_configuration, parse_daemon_settings):
        try:
            parsed = parse(text)
        except* DocumentError as group:
            assert group.exceptions
        else:
            assert isinstance(parsed, Configuration)
