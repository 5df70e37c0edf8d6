"""Log lines are flat JSON objects without bearer keys and prompts."""

from __future__ import annotations

import io
import json
from typing import Any

import pytest
from loguru import logger

from cowslipstep.daemon._caller_application import CallerApplication
from cowslipstep.daemon._logs import log_event, start_logging
from cowslipstep.daemon._state import DaemonState
from cowslipstep.metrics import Event
from cowslipstep.model import Address, VersionedConfiguration
from cowslipstep.operator import (
    build_configuration,
    model,
    rank,
    runners,
    workspace,
)
from cowslipstep.platform import PlatformClient
from cowslipstep.settings import DaemonSettings

_KEY = 'the-secret-key'
_PROMPT = 'the private prompt'
_ANYWHERE = Address('127.0.0.1', 0)
_CONFIGURATION = build_configuration(
    ranks=[rank('urgent', target_first_token_s=1)],
    workspaces=[workspace('firm', keys=[_KEY])],
    models=[model('drafting', groups=1, hosts_per_group=1)],
    runners=runners('ebene', ['10.0.0.1:80']),
)


class _FailingDelivery:
    """Delivery whose error message quotes the request."""

    def deliver(self, request: Any, *_rest: Any) -> Any:
        raise ValueError(f'{_KEY} {_PROMPT} {request}')


@pytest.fixture(name='lines')
def lines_fixture() -> Any:
    """Stream that receives the log lines."""
    stream = io.StringIO()
    start_logging('DEBUG', stream)
    yield stream
    logger.remove()


@pytest.fixture(name='state')
def state_fixture() -> DaemonState:
    """State of a daemon with a configuration."""
    settings = DaemonSettings('d0', 'ebene', _ANYWHERE, _ANYWHERE, _ANYWHERE)
    state = DaemonState(settings, PlatformClient(_ANYWHERE))
    state.versioned = VersionedConfiguration(1, _CONFIGURATION)
    return state


def _environ(path: str, document: Any, **headers: str) -> dict[str, Any]:
    body = json.dumps(document).encode()
    return {
        'PATH_INFO': path,
        'REQUEST_METHOD': 'POST',
        'CONTENT_LENGTH': str(len(body)),
        'HTTP_AUTHORIZATION': f'Bearer {_KEY}',
        'wsgi.input': io.BytesIO(body),
        **headers,
    }


@pytest.mark.parametrize(
    ('path', 'document', 'headers'),
    [
        ('/v1/completions', {'model': 'drafting', 'prompt': _PROMPT}, {}),
        ('/v1/completions', {'model': _PROMPT, 'prompt': _PROMPT}, {}),
        ('/v1/completions', {'prompt': _PROMPT}, {'HTTP_X_RANK': _KEY}),
        ('/services/records/x', {'order': _PROMPT}, {}),
        (f'/{_KEY}', {'prompt': _PROMPT}, {}),
        ('/v1/completions', [_PROMPT], {'HTTP_X_TIMEOUT_S': _KEY}),
        ('/v1/completions', {}, {'HTTP_AUTHORIZATION': f'Basic {_KEY}'}),
    ],
)
def test_bearer_keys_and_prompts_are_not_logged(
    state: DaemonState,
    lines: io.StringIO,
    path: str,
    document: Any,
    headers: dict[str, str],
) -> None:
    failing_delivery: Any = _FailingDelivery()
    application = CallerApplication(state, failing_delivery, failing_delivery)
    application(_environ(path, document, **headers), lambda *_head: None)
    text = lines.getvalue()
    assert 'request_id' in json.loads(text.splitlines()[0])
    assert _KEY not in text
    assert _PROMPT not in text


def test_event_is_logged_as_one_flat_object(lines: io.StringIO) -> None:
    log_event(Event('lease_taken', 'ebene', 'it had lapsed', 0))
    logged = json.loads(lines.getvalue())
    logged.pop('time')
    assert logged == {
        'level': 'INFO',
        'message': 'lease_taken ebene',
        'event': 'lease_taken',
        'subject': 'ebene',
        'cause': 'it had lapsed',
    }
