"""Entries of runners with fields out of range."""

from __future__ import annotations

import json
from types import MappingProxyType

import pytest

from cowslipstep.model import DocumentError
from cowslipstep_site import decode_runner

DEPTH = 100000
DEEP_LIST = '[' * DEPTH
DEEP_OBJECT = '{"a":' * DEPTH
LONG_NUMBER = '9' * 5000
WRONG_NUMBERS = (-1, 1.5, '9', True, 2**64, [])
GROUP = MappingProxyType(
    {'name': 'g7', 'epoch': 12, 'rank': 1, 'state': 'ready'}
)
ENTRY = MappingProxyType(
    {
        'service': 'drafting',
        'address': '10.1.2.3:8080',
        'zone': 'north',
        'slots': 9,
        'state': 'ready',
        'group': dict(GROUP),
    },
)


def spoiled_entry(**fields: object) -> str:
    return json.dumps({**ENTRY, **fields})


def spoiled_group(**fields: object) -> str:
    return spoiled_entry(group={**GROUP, **fields})


# Deep nesting raises an error of its own in the decoder.
@pytest.mark.parametrize(
    'text',
    [
        DEEP_LIST,
        DEEP_OBJECT,
        spoiled_entry(slots=5).replace('5', LONG_NUMBER),
        spoiled_entry(slots=5).replace('5', '1e400'),
        spoiled_entry(slots=5).replace('5', 'Infinity'),
        spoiled_entry(other=5).replace('5', 'NaN'),
        spoiled_entry(other=5).replace('5', '1e400'),
    ],
    ids=lambda text: text[-30:],
)
def test_unreadable_entry_is_refused(text: str) -> None:
    with pytest.raises(DocumentError) as refused:
        decode_runner('i-1', text)
    assert len(str(refused.value)) < 1000


@pytest.mark.parametrize(
    'address',
    [
        '10.1.2.3:0',
        '10.1.2.3:65536',
        '10.1.2.3:1000000000',
        '10.1.2.3:-1',
        '10.1.2.3:8.5',
        '10.1.2.3',
        ':8080',
        'runner.example:8080',
        '10.1.2:8080',
        '10.1.2.300:8080',
        '0.0.0.0:8080',
        '10.1.2.3\x00:8080',
        '[::1]:8080',
        8080,
        None,
        ['10.1.2.3', 8080],
    ],
)
def test_unreachable_address_is_refused(
    address: object,
) -> None:
    with pytest.raises(DocumentError):
        decode_runner('i-1', spoiled_entry(address=address))


@pytest.mark.parametrize(
    'document',
    [
        spoiled_entry(slots=0),
        *(spoiled_entry(slots=wrong) for wrong in WRONG_NUMBERS),
        spoiled_entry(service=['drafting']),
        spoiled_entry(zone={}),
        spoiled_entry(domain=7),
        spoiled_entry(models='pair'),
        spoiled_entry(models=[{'name': ['pair']}]),
        spoiled_entry(models={'name': 'pair'}),
        spoiled_entry(staged='pair'),
        spoiled_entry(staged=[['pair']]),
        spoiled_entry(staged={'pair': 1}),
        spoiled_entry(group='g7'),
        spoiled_entry(padding='x' * 1000000),
        *(spoiled_group(epoch=wrong) for wrong in WRONG_NUMBERS),
        *(spoiled_group(rank=wrong) for wrong in WRONG_NUMBERS),
        spoiled_group(name=['g7']),
        spoiled_group(state=[]),
    ],
    ids=lambda document: document[-60:],
)
def test_entry_with_wrong_field_is_refused(document: str) -> None:
    with pytest.raises(DocumentError):
        decode_runner('i-1', document)


@pytest.mark.parametrize(
    'name', ['', 'i\n1', 'i\x001', '\ud800', '\u4e2d', 'i' * 1000]
)
def test_name_that_fits_no_header_is_refused(name: str) -> None:
    with pytest.raises(DocumentError):
        decode_runner(name, spoiled_entry())
