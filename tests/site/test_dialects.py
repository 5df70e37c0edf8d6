"""Encoding of requests, commands and calls of the store."""

from __future__ import annotations

import json

import pytest

from cowslipstep.fleet import (
    CommandOutcome,
    DiscoveredRunner,
    GroupCommand,
    GroupId,
    JoinCommand,
    LeaveCommand,
    UpstreamRequest,
)
from cowslipstep.model import Address, MayHaveRun, NotRun, RequestError
from cowslipstep.platform import ObjectKey
from cowslipstep_site import EngineCommands, RequestDialect, decode_settings
from cowslipstep_site._store import OBJECTS_DIALECT

ID = ('X-Cowslipstep-Request-Id', 'r1')
SIGNED = ('X-Cowslipstep-Response-Signature', 's')
RUNNER = DiscoveredRunner(
    'i-1',
    'drafting',
    Address('10.1.2.3', 8080),
    'north',
    9,
)
VERY_MANY = '{0},5'.format('9' * 300)
SETTINGS = """
nodeName = "edge-1"
ip = "10.1.0.40"
zone = "north"
internalPorts = [7340, 7355]
bootstrap = true
[listen]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
[bounds]
graceS = 8
[platform]
address = "10.200.1.7:8223"
writesPerS = 400
readsPerS = 2000
"""


def read(*headers: tuple[str, str]):
    return RequestDialect().read('POST', '/a/b?c', headers, b'body')


def sent() -> UpstreamRequest:
    request = read(ID, ('Authorization', 'Token k'), ('X-Other', 'kept'))
    return UpstreamRequest(request, RUNNER, 'sales', 1.5, 2)


def test_settings_are_decoded() -> None:
    settings = decode_settings(SETTINGS)
    assert settings.peer_address == Address('10.1.0.40', 7340)
    assert settings.first_start
    assert settings.bounds.evacuation_s is None


def test_time_of_an_evacuation_is_decoded() -> None:
    text = SETTINGS.replace('graceS = 8', 'graceS = 8\nevacuateMs = 5000')
    assert decode_settings(text).bounds.evacuation_s == 5


@pytest.mark.parametrize('text', ['', 'nodeName = 5', '= ='])
def test_broken_settings_raise_a_value_error(text: str) -> None:
    with pytest.raises(ValueError):
        decode_settings(text)


def test_key_is_dropped_and_workspace_is_sent() -> None:
    headers = RequestDialect().headers(sent())
    assert 'Authorization' not in headers
    assert headers['X-Cowslipstep-Tenant'] == 'sales'
    assert headers['X-Cowslipstep-Expect-Instance'] == 'i-1'
    assert headers['X-Cowslipstep-Deadline-Ms'] == '1500'
    assert headers['X-Other'] == 'kept'


def test_workspace_that_a_caller_names_is_dropped() -> None:
    request = read(ID, ('X-Cowslipstep-Tenant', 'other'))
    assert request.headers == (ID,)


@pytest.mark.parametrize(
    'header',
    [
        ('X-Cowslipstep-Token-Usage', 'many'),
        ('X-Cowslipstep-Token-Usage', '-1,5'),
        ('X-Cowslipstep-Token-Usage', '5,-1'),
        ('X-Cowslipstep-Token-Usage', VERY_MANY),
        ('X-Cowslipstep-Token-Usage', '5,1000000001'),
        ('X-Cowslipstep-Deadline-Ms', 'soon'),
    ],
)
def test_malformed_numbers_are_refused(header: tuple[str, str]) -> None:
    with pytest.raises(RequestError):
        read(ID, header)


# Each response repeats the id, as the value of one field.
@pytest.mark.parametrize('request_id', ['', 'r\x01', 'r\r\nX: y', '\u20ac'])
def test_unwritable_request_id_is_refused(request_id: str) -> None:
    with pytest.raises(RequestError):
        read(('X-Cowslipstep-Request-Id', request_id))


def test_very_long_deadline_is_shortened() -> None:
    request = read(ID, ('X-Cowslipstep-Deadline-Ms', str(10**400)))
    assert request.timeout_s == pytest.approx(1000000)


@pytest.mark.parametrize(
    ('status', 'headers', 'verdict'),
    [
        (200, (ID, SIGNED), type(None)),
        (500, (ID, SIGNED), type(None)),
        (503, (ID, ('X-Cowslipstep-Not-Executed', '1')), NotRun),
        (503, (ID, SIGNED), MayHaveRun),
        (421, (ID,), NotRun),
        (200, (ID,), MayHaveRun),
    ],
)
def test_response_gives_the_verdict_of_a_request(
    status: int,
    headers: tuple[tuple[str, str], ...],
    verdict: type,
) -> None:
    head = RequestDialect().response_head(sent(), status, headers)
    assert isinstance(head.refusal, verdict)


def test_response_to_another_request_is_marked() -> None:
    other = ('X-Cowslipstep-Request-Id', 'r2')
    assert (
        RequestDialect()
        .response_head(sent(), 200, (other, SIGNED))
        .for_other_request
    )


GROUP = GroupId('drafting', 'g7', 12)


def command_fields(command: GroupCommand) -> dict:
    return json.loads(EngineCommands().body(command, fencing_token=5))


def test_commands_contain_epoch_and_fencing_token() -> None:
    fields = command_fields(JoinCommand(GROUP, 'pair', ('i-1', 'i-2')))
    assert fields['epoch'] == 12
    assert fields['fencingToken'] == 5
    assert command_fields(LeaveCommand(GROUP))['group'] == 'g7'


def test_old_fencing_token_outdates_a_command() -> None:
    assert EngineCommands().outcome(412) is CommandOutcome.outdated


def test_next_page_begins_after_the_last_name() -> None:
    entry = {'metadata': {'name': 'i-1', 'revision': 4}, 'spec': {}}
    document = {'items': [entry], 'hasMore': True, 'at': 9}
    page = OBJECTS_DIALECT.responses.parse_page('runners', document)
    assert (page.continue_after, page.revision) == ('i-1', 9)
    call = OBJECTS_DIALECT.calls.read_page('runners', page.continue_after)
    assert call.path == '/v1/objects/servers?after=i-1'


def test_responses_name_the_era_of_the_store() -> None:
    assert OBJECTS_DIALECT.responses.era({'Store-Era': '3'}) == 3


@pytest.mark.parametrize('header', ['', 'x', '-1', '9999999'])
def test_an_invalid_era_counts_as_none(header: str) -> None:
    assert OBJECTS_DIALECT.responses.era({'Store-Era': header}) is None


def test_refused_change_was_not_made() -> None:
    assert isinstance(OBJECTS_DIALECT.responses.verdict_of_status(503), NotRun)
    assert isinstance(
        OBJECTS_DIALECT.responses.verdict_of_status(500), MayHaveRun
    )


def test_change_is_conditional_on_its_version() -> None:
    call = OBJECTS_DIALECT.calls.update(ObjectKey('ledger', 'f'), 4, '{}')
    assert json.loads(call.body)['metadata']['revision'] == 4


@pytest.mark.parametrize(
    ('listed', 'parts'),
    [
        ('', ()),
        ('5c1e:800', ()),
        ('5c1e:800,91bd:410,e440:250', ('5c1e', '91bd')),
        ('5c1e:800, 91bd:410 ,e440:250', ('5c1e', '91bd')),
        ('5c1e,91bd:x,e440', ('5c1e', '91bd')),
        (',,', ()),
        (':800,e440:250', ()),
        ('{0}:1,e440:250'.format('a' * 65), ()),
        ('a:1,' * 80, ('a',) * 64),
    ],
)
def test_shared_prompt_parts_are_decoded(
    listed: str, parts: tuple[str, ...]
) -> None:
    request = read(ID, ('X-Cowslipstep-Prefix-Hash', listed))
    assert request.shared_prompt_parts == parts
    assert ('X-Cowslipstep-Prefix-Hash', listed) in request.headers
