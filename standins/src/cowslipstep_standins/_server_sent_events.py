"""Reads server-sent events and error documents into an outcome."""

from __future__ import annotations

import json
from typing import Any

from cowslipstep_standins._outcomes import Outcome

_DATA_PREFIX = b'data: '


def read_events(body: bytes, outcome: Outcome) -> None:
    """Record the text and the verdict of a stream of server-sent events.

    A body without an end mark or an error leaves the verdict as it is.
    """
    for line in body.split(b'\n'):
        if not line.startswith(_DATA_PREFIX):
            continue
        payload = line.removeprefix(_DATA_PREFIX)
        if payload == b'[DONE]':
            outcome.verdict = 'completed'
            return
        document = json.loads(payload)
        if 'error' in document:
            record_error(document, outcome)
            return
        outcome.text += document['choices'][0]['text']


def record_error(document: Any, outcome: Outcome) -> None:
    """Record the verdict and the code of an error document."""
    outcome.verdict = document['error']['verdict']
    outcome.code = document['error']['code']
