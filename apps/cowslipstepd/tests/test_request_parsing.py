"""Invalid requests of callers raise ``RequestError`` and nothing else."""

from __future__ import annotations

import io
import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cowslipstep.daemon._completion_requests import parse_completion_request
from cowslipstep.daemon._http import REQUEST_ID
from cowslipstep.daemon._request_bodies import read_body
from cowslipstep.daemon._request_headers import find_workspace
from cowslipstep.daemon._service_requests import parse_service_request
from cowslipstep.model import NotRun, RequestError
from cowslipstep.operator import (
    build_configuration,
    model,
    rank,
    runners,
    workspace,
)

_MAX_BYTES = 200
_BODY = b'{"model": "drafting", "prompt": "hello"}'
_CONFIGURATION = build_configuration(
    ranks=[rank('urgent', target_first_token_s=1)],
    workspaces=[workspace('firm', keys=['secret'])],
    models=[model('drafting', groups=1, hosts_per_group=1)],
    runners=runners('ebene', ['10.0.0.1:80']),
)
_JSON_LEAVES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(),
)
_BROKEN = st.recursive(
    _JSON_LEAVES,
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)
_LATIN = st.text(st.characters(max_codepoint=255), max_size=12)


def _environ(body: bytes, **headers: str) -> dict[str, Any]:
    return {
        'PATH_INFO': '/v1/completions',
        'REQUEST_METHOD': 'POST',
        'CONTENT_LENGTH': str(len(body)),
        'HTTP_AUTHORIZATION': 'Bearer secret',
        'wsgi.input': io.BytesIO(body),
        'RAW_PATH_INFO': '/v1/completions',
        REQUEST_ID: 'r1',
        **headers,
    }


def _parse_or_refuse(environ: dict[str, Any]) -> None:
    try:
        _parse(environ)
    except RequestError as error:
        assert isinstance(error.verdict, NotRun)


def _parse(environ: dict[str, Any]) -> None:
    workspace = find_workspace(environ, _CONFIGURATION).name
    body = read_body(environ, _MAX_BYTES)
    parse_completion_request(environ, body, workspace, _CONFIGURATION)
    parse_service_request(environ, body, workspace, _CONFIGURATION)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    member=st.sampled_from(['model', 'prompt', 'messages', 'max_tokens']),
    broken=_BROKEN,
)
def test_broken_members(member: str, broken: Any) -> None:
    document = {'model': 'drafting', 'prompt': 'hello', member: broken}
    if member == 'messages':
        document.pop('prompt')
    _parse_or_refuse(_environ(json.dumps(document).encode()))


@settings(derandomize=True, deadline=None, max_examples=300)
@given(body=st.binary(max_size=_MAX_BYTES * 2))
def test_broken_bodies(body: bytes) -> None:
    _parse_or_refuse(_environ(body))


@pytest.mark.parametrize(
    'body',
    [
        b'\xff',
        b'[' * _MAX_BYTES,
        json.dumps({'model': 'drafting', 'prompt': '\ud800'}).encode(),
        json.dumps({'model': 'drafting', 'max_tokens': 10**90}).encode(),
    ],
)
def test_invalid_bodies(body: bytes) -> None:
    _parse_or_refuse(_environ(body))


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    header=st.sampled_from(
        [
            'CONTENT_LENGTH',
            'HTTP_AUTHORIZATION',
            'HTTP_X_RANK',
            'HTTP_X_TIMEOUT_S',
            'HTTP_IDEMPOTENCY_KEY',
        ],
    ),
    broken=_LATIN,
)
def test_broken_headers(header: str, broken: str) -> None:
    _parse_or_refuse(_environ(_BODY, **{header: broken}))


@pytest.mark.parametrize(
    ('header', 'broken'),
    [
        ('CONTENT_LENGTH', '²'),
        ('CONTENT_LENGTH', '9' * 5000),
        ('HTTP_X_TIMEOUT_S', 'nan'),
        ('HTTP_AUTHORIZATION', 'Bearer \xff'),
    ],
)
def test_invalid_headers(header: str, broken: str) -> None:
    with pytest.raises(RequestError):
        _parse(_environ(_BODY, **{header: broken}))
