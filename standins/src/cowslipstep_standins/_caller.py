"""A caller that checks each answer against what the engine must say."""

from __future__ import annotations

import json
import time
from typing import Any

import urllib3
from attrs import define, field, frozen

from cowslipstep_standins._generation import expected_answer
from cowslipstep_standins._plan import workspace_key

_OK = 200
_DATA_PREFIX = b'data: '
_TIMEOUT_S = 60


@frozen
class Call:
    """One request of a caller.

    ``key`` is the idempotency key; ``service`` is true for an order that is
    posted to the plain service.
    """

    prompt: str
    workspace: str
    rank: str = 'normal'
    tokens: int = 16
    stream: bool = False
    key: str = ''
    service: bool = False


@define
class Outcome:
    """What the caller saw.

    Attributes
    ----------
    verdict
        ``completed``, ``not_run``, ``may_have_run`` or ``lost`` where the
        connection broke without an answer.
    code
        The error's code; empty for none.
    correct
        Whether a completed answer is the whole and right one.
    first_byte_s
        Time to the first byte of the answer, seconds.
    """

    call: Call
    status: int = 0
    verdict: str = 'lost'
    code: str = ''
    correct: bool = False
    first_byte_s: float = 0
    request_id: str = ''
    text: str = ''
    headers: dict[str, str] = field(factory=dict)


class Caller:
    """Sends calls to a daemon.

    Parameters
    ----------
    connections
        Largest number of connections kept to a daemon.
    """

    def __init__(self, connections: int = 16) -> None:
        self._http = urllib3.PoolManager(maxsize=connections, retries=False)

    def send(self, address: str, call: Call) -> Outcome:
        """Send a call and read its whole answer."""
        outcome = Outcome(call)
        started_s = time.monotonic()
        try:
            with self._open(address, call) as answer:
                outcome.first_byte_s = time.monotonic() - started_s
                self._read(answer, outcome)
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            outcome.code = type(error).__name__
        return outcome

    def _open(self, address: str, call: Call) -> urllib3.BaseHTTPResponse:
        headers = {
            'Authorization': f'Bearer {workspace_key(call.workspace)}',
            'Content-Type': 'application/json',
            'X-Rank': call.rank,
        }
        if call.key:
            headers['Idempotency-Key'] = call.key
        path = '/services/order-book/orders'
        if not call.service:
            path = '/v1/completions'
        return self._http.request(
            'POST',
            f'http://{address}{path}',
            body=json.dumps(_document(call)),
            headers=headers,
            timeout=_TIMEOUT_S,
            preload_content=False,
        )

    def _read(
        self,
        answer: urllib3.BaseHTTPResponse,
        outcome: Outcome,
    ) -> None:
        outcome.status = answer.status
        outcome.headers = dict(answer.headers)
        outcome.request_id = answer.headers.get('X-Request-Id', '')
        body = answer.read()
        if answer.status != _OK:
            _note_error(json.loads(body), outcome)
            return
        if outcome.call.stream:
            _read_events(body, outcome)
            return
        outcome.verdict = 'completed'
        outcome.text = _text(json.loads(body), outcome.call)
        outcome.correct = outcome.text == _expected(outcome.call)


def _document(call: Call) -> Any:
    if call.service:
        return {'order': call.prompt}
    return {
        'model': 'drafting',
        'prompt': call.prompt,
        'max_tokens': call.tokens,
        'stream': call.stream,
    }


def _expected(call: Call) -> str:
    if call.service:
        return json.dumps(_document(call))
    return expected_answer(call.prompt, call.tokens)


def _text(document: Any, call: Call) -> str:
    if call.service:
        return str(document['echo'])
    return str(document['choices'][0]['text'])


def _read_events(body: bytes, outcome: Outcome) -> None:
    for line in body.split(b'\n'):
        if not line.startswith(_DATA_PREFIX):
            continue
        payload = line.removeprefix(_DATA_PREFIX)
        if payload == b'[DONE]':
            outcome.verdict = 'completed'
            outcome.correct = outcome.text == _expected(outcome.call)
            return
        document = json.loads(payload)
        if 'error' in document:
            _note_error(document, outcome)
            return
        outcome.text += document['choices'][0]['text']


def _note_error(document: Any, outcome: Outcome) -> None:
    outcome.verdict = document['error']['verdict']
    outcome.code = document['error']['code']
