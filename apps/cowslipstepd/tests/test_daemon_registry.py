"""Entries of daemons that cannot be used."""

from __future__ import annotations

import itertools
import json
from types import MappingProxyType

import pytest

from cowslipstep.model import Address, DaemonEntry
from cowslipstep.platform import ObjectKey, ObjectPage, StoredObject
from cowslipstep.serving._registry import DaemonRegistry

VALID = MappingProxyType(
    {
        'address': '10.1.0.40:7340',
        'failureDomain': 'north',
        'incarnation': 5,
        'cores': 0.5,
    }
)
WRONG_ADDRESSES = (
    None,
    5,
    [],
    '',
    'peer:80',
    '10.1.0.40',
    '10.1.0.40:-1',
    '10.1.0.40:0',
    '10.1.0.40:65536',
    '10.1.0.40:1000000000',
)
WRONG_INCARNATIONS = (None, '5', -1, 2**64, 1.5)
WRONG_CORES = (None, '1', 0, float('nan'), 10**400)
OWN = DaemonEntry('own', Address('127.0.0.1', 1), 'north')


def body(**fields: object) -> str:
    return json.dumps({**VALID, **fields})


def stored(name: str, text: str) -> StoredObject:
    return StoredObject(ObjectKey('daemons', name), 1, text)


@pytest.mark.parametrize(
    'odd',
    [
        '[' * 100000,
        'null',
        'NaN',
        '[]',
        *(body(address=address) for address in WRONG_ADDRESSES),
        *(body(failureDomain=wrong) for wrong in (None, [])),
        *(body(incarnation=wrong) for wrong in WRONG_INCARNATIONS),
        *(body(cores=wrong) for wrong in WRONG_CORES),
    ],
    ids=lambda text: text[:70],
)
def test_unreadable_daemon_hides_no_other_daemon(odd: str) -> None:
    registry = DaemonRegistry(OWN)
    bodies = {'a': body(), 'odd': odd, 'b': body()}
    listed = tuple(itertools.starmap(stored, bodies.items()))
    registry.replace(ObjectPage(listed, '', 1))
    assert set(registry.others) == {'a', 'b'}


# Other daemons count this one only once its entry is stored.
def test_own_entry_counts_once_it_is_read() -> None:
    registry = DaemonRegistry(OWN)
    registry.replace(ObjectPage((stored('a', body()),), '', 1))
    assert (registry.listed, set(registry.others)) == (1, {'a'})
    both = (stored('a', body()), stored('own', body()))
    registry.replace(ObjectPage(both, '', 2))
    assert (registry.listed, set(registry.others)) == (2, {'a'})
