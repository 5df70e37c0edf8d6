"""A caller that compares each response with the expected completion."""

from __future__ import annotations

import json
import time
from typing import Any

import urllib3
from cowslipstep_standins._generation import expected_completion
from cowslipstep_standins._outcomes import Call, Outcome
from cowslipstep_standins._plan import workspace_key
from cowslipstep_standins._server_sent_events import read_events, record_error

_OK = 200
_REQUEST_TIMEOUT_S = 60


class Caller:
    """Sends calls to daemons and checks their responses.

    Parameters
    ----------
    connections
        Largest number of idle connections kept open to a daemon.
    """

    def __init__(self, connections: int = 16) -> None:
        self._http = urllib3.PoolManager(maxsize=connections, retries=False)

    def send(self, address: str, call: Call) -> Outcome:
        """Send a call, read its whole response and return the outcome."""
        started_s = time.monotonic()
        outcome = Outcome(call, started_s=started_s, address=address)
        try:
            with self._open(address, call) as response:
                outcome.first_byte_s = time.monotonic() - started_s
                self._read(response, outcome)
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
            headers['Idempotency-Attempt'] = str(call.attempt)
        path = '/services/order-book/orders'
        if not call.service:
            path = '/v1/completions'
        return self._http.request(
            'POST',
            f'http://{address}{path}',
            body=call_body(call),
            headers=headers,
            timeout=_REQUEST_TIMEOUT_S,
            preload_content=False,
        )

    def _read(
        self,
        response: urllib3.BaseHTTPResponse,
        outcome: Outcome,
    ) -> None:
        outcome.status = response.status
        outcome.headers = dict(response.headers)
        outcome.request_id = response.headers.get('X-Request-Id', '')
        body = response.read()
        if response.status != _OK:
            record_error(json.loads(body), outcome)
            return
        if outcome.call.stream:
            read_events(body, outcome)
            outcome.correct = outcome.text == _expected(outcome.call)
            return
        outcome.verdict = 'completed'
        outcome.text = _text(json.loads(body), outcome.call)
        outcome.correct = outcome.text == _expected(outcome.call)


def call_body(call: Call) -> str:
    """Return the request body of a call as JSON text."""
    if call.service:
        return json.dumps({'order': call.prompt})
    return json.dumps(_document(call))


def _document(call: Call) -> Any:
    return {
        'model': 'drafting',
        'prompt': call.prompt,
        'max_tokens': call.tokens,
        'stream': call.stream,
    }


def _expected(call: Call) -> str:
    if call.service:
        return call_body(call)
    return expected_completion(call.prompt, call.tokens)


def _text(document: Any, call: Call) -> str:
    if call.service:
        return str(document['echo'])
    return str(document['choices'][0]['text'])
