"""The call that asks a host for its health."""

from __future__ import annotations

import contextlib
import json
from http.client import HTTPException, HTTPResponse
from typing import Any

from urllib3.connection import HTTPConnection

from cowslipstep.groups import HostReport, HostState

_OK = 200


def ask_health(connection: HTTPConnection) -> dict[str, Any]:
    """Ask a host for its health and return the document of its answer.

    Explanation
    -----------
    The request never changes, so it is not put together anew each time.

    Raises
    ------
    OSError
        If the connection fails.
    HTTPException
        If the answer is no whole answer with status 200.
    ValueError
        If its body is no JSON.
    """
    if connection.sock is None:
        connection.connect()
    host = f'{connection.host}:{connection.port}'
    connection.send(f'GET /health HTTP/1.1\r\nHost: {host}\r\n\r\n'.encode())
    answer = HTTPResponse(connection.sock, method='GET')
    with contextlib.closing(answer):
        answer.begin()
        if answer.status != _OK:
            raise HTTPException(f'status {answer.status}')
        health = json.loads(answer.read())
    if answer.will_close:
        connection.close()
    return health


def read_health(health: dict[str, Any], sent_at_s: float) -> HostReport:
    """Read what a host said of itself in answer to a call."""
    return HostReport(
        health['host'],
        health['group'],
        HostState(health['state']),
        sent_at_s,
        model=health['model'],
        unfinished_requests=health['running'] + health['waiting'],
        fencing_token=health.get('fence', 0),
        token_interval_s=health.get('token_s', 0),
    )
