"""Decoding of valid and broken documents of the platform."""

from __future__ import annotations

import contextlib
import json
from types import MappingProxyType

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cowslipstep.fleet import GroupId, MemberState, RequestKind
from cowslipstep.model import DocumentError
from cowslipstep_site import decode_configuration, decode_runner

NUMBERS = (st.integers(), st.floats())
PLAIN = (st.none(), st.booleans(), st.text(), *NUMBERS)


def nested(inner: st.SearchStrategy) -> st.SearchStrategy:
    names = st.text(max_size=5)
    return st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(names, inner, max_size=3),
    )


JSON_VALUES = st.recursive(st.one_of(*PLAIN), nested, max_leaves=8)
ROUTE = MappingProxyType(
    {
        'name': 'quotes',
        'host': 'Orders.example',
        'pathPrefix': '/quotes/',
        'kind': 'streaming',
        'timeoutMs': 6000,
        'targetLatencyMs': 250,
        'priority': 1,
        'service': 'drafting',
        'maxAttempts': 2,
        'streamResume': True,
        'targetGapMs': 200,
    },
)
ENGINE = MappingProxyType(
    {
        'slots': 9,
        'models': [{'name': 'pair', 'size': 2, 'loadS': 12.0}],
        'step_ms': 8,
        'per_seq_ms': 0.5,
        'read_per_s': 45900,
        'usual': {'answer': 154},
    },
)
CONFIGURATION = MappingProxyType(
    {
        'version': 7,
        'routes': [dict(ROUTE)],
        'services': [{'name': 'drafting', 'engine': dict(ENGINE)}],
        'limits': {'idleTimeoutMs': 15000},
        'tenants': [{'name': 'sales', 'apiKeys': ['k1', 'k2'], 'priority': 0}],
    },
)
ENTRY = MappingProxyType(
    {
        'service': 'drafting',
        'address': '10.1.2.3:8080',
        'zone': 'north',
        'slots': 9,
        'state': 'ready',
        'domain': 'rack-1',
        'models': [{'name': 'pair', 'version': 1}],
        'staged': ['other'],
        'group': {'name': 'g7', 'epoch': 12, 'rank': 1, 'state': 'ready'},
        'born': 1700000000000,
    },
)


def test_route_is_decoded() -> None:
    read = decode_configuration(json.dumps(dict(CONFIGURATION)))
    route = read.routes[0]
    assert route.kind is RequestKind.streaming
    assert route.host == 'orders.example'
    times = (route.timeout_s, route.objective_s, route.max_gap_s)
    assert times == pytest.approx((6, 0.25, 0.2))


def test_engine_and_keys_are_decoded() -> None:
    read = decode_configuration(json.dumps(dict(CONFIGURATION)))
    engine = read.services['drafting'].engine
    assert engine.step_s == pytest.approx(0.008)
    assert engine.model('pair').group_size == 2
    assert read.keys['k2'].workspace == 'sales'


@pytest.mark.parametrize('missing', ['version', 'routes', 'services'])
def test_configuration_without_a_field_is_refused(missing: str) -> None:
    document = {**CONFIGURATION}
    document.pop(missing)
    with pytest.raises(DocumentError):
        decode_configuration(json.dumps(document))


def test_entry_is_decoded() -> None:
    runner = decode_runner('i-1', json.dumps(dict(ENTRY)))
    assert runner.fabric_domain == 'rack-1'
    assert runner.loaded_models == ('pair',)
    assert runner.group_id == GroupId(runner.service, 'g7', 12)
    assert runner.group_position.state is MemberState.ready
    assert not runner.draining


@pytest.mark.parametrize(
    ('field', 'wrong'),
    [
        ('state', 'resting'),
        ('state', 5),
        ('service', None),
        ('address', 'nowhere'),
        ('group', {'name': 'g7'}),
    ],
)
def test_broken_entry_is_refused(field: str, wrong: object) -> None:
    with pytest.raises(DocumentError):
        decode_runner('i-1', json.dumps({**ENTRY, field: wrong}))


@given(JSON_VALUES)
def test_any_value_is_decoded_or_refused(drawn: object) -> None:
    text = json.dumps(drawn)
    with contextlib.suppress(DocumentError):
        decode_runner('i-1', text)
    with contextlib.suppress(DocumentError):
        decode_configuration(text)


@given(st.sampled_from(sorted(ENTRY)), JSON_VALUES)
def test_any_field_is_decoded_or_refused(field: str, drawn: object) -> None:
    with contextlib.suppress(DocumentError):
        decode_runner('i-1', json.dumps({**ENTRY, field: drawn}))


@given(st.sampled_from(sorted(ROUTE)), JSON_VALUES)
def test_any_route_is_decoded_or_refused(field: str, drawn: object) -> None:
    route = {**ROUTE, field: drawn}
    document = {**CONFIGURATION, 'routes': [route]}
    with contextlib.suppress(DocumentError):
        decode_configuration(json.dumps(document))


def spoiled_configuration(document: dict, *path: str | int, wrong: object):
    """Return the text of a document in which one field is replaced."""
    spoiled = json.loads(json.dumps(document))
    parent = spoiled
    for name in path[:-1]:
        parent = parent[name]
    parent[path[-1]] = wrong
    return json.dumps(spoiled)


FIRST_ROUTE = ('routes', 0)
FIRST_ENGINE = ('services', 0, 'engine')
FIRST_MODEL = (*FIRST_ENGINE, 'models', 0)
NUMBER_FIELDS = (
    ('version',),
    ('limits', 'maxBodyBytes'),
    ('tenants', 0, 'priority'),
    *((*FIRST_ROUTE, name) for name in ('timeoutMs', 'targetLatencyMs')),
    *((*FIRST_ROUTE, name) for name in ('priority', 'maxAttempts')),
    (*FIRST_ROUTE, 'targetGapMs'),
    *((*FIRST_ENGINE, name) for name in ('slots', 'step_ms', 'per_seq_ms')),
    *((*FIRST_ENGINE, name) for name in ('read_per_s', 'stride', 'loadsPerS')),
    (*FIRST_ENGINE, 'loads_at_once'),
    (*FIRST_ENGINE, 'usual', 'answer'),
    *((*FIRST_MODEL, name) for name in ('size', 'pace', 'share', 'loadS')),
    (*FIRST_MODEL, 'warmS'),
)
TEXT_FIELDS = (
    ('tenants', 0, 'name'),
    ('tenants', 0, 'apiKeys', 0),
    ('services', 0, 'name'),
    *((*FIRST_ROUTE, name) for name in ('name', 'host', 'pathPrefix')),
    (*FIRST_ROUTE, 'service'),
    (*FIRST_MODEL, 'name'),
)
NOT_FINITE = (float('inf'), float('nan'))
WRONG_NUMBERS = (-1, 2**64, *NOT_FINITE, '9', True, [])


@pytest.mark.parametrize('path', NUMBER_FIELDS, ids=repr)
@pytest.mark.parametrize('wrong', WRONG_NUMBERS, ids=repr)
def test_number_out_of_range_is_refused(
    path: tuple[str | int, ...], wrong: object
) -> None:
    document = dict(CONFIGURATION)
    with pytest.raises(DocumentError):
        decode_configuration(
            spoiled_configuration(document, *path, wrong=wrong)
        )


@pytest.mark.parametrize('path', TEXT_FIELDS, ids=repr)
@pytest.mark.parametrize('wrong', ['', 'a\x00', '\ud800', 5, None, []])
def test_text_without_encoding_is_refused(
    path: tuple[str | int, ...], wrong: object
) -> None:
    document = dict(CONFIGURATION)
    with pytest.raises(DocumentError):
        decode_configuration(
            spoiled_configuration(document, *path, wrong=wrong)
        )


@pytest.mark.parametrize('weight', [0, -1, '9', float('nan'), None])
def test_route_without_positive_weight_is_refused(weight: object) -> None:
    weighted = [{'service': 'drafting', 'weight': weight}]
    route = {**ROUTE, 'weightedBackends': weighted}
    document = {**CONFIGURATION, 'routes': [route]}
    with pytest.raises(DocumentError):
        decode_configuration(json.dumps(document))


@pytest.mark.parametrize('opening', ['[', '{"a":'])
def test_deep_configuration_is_refused(opening: str) -> None:
    with pytest.raises(DocumentError):
        decode_configuration(opening * 100000)
