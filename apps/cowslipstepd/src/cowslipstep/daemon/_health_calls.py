"""Health requests to hosts."""

from __future__ import annotations

import contextlib
import json
from http.client import HTTPException
from typing import Any

from urllib3.connection import HTTPConnection

from cowslipstep.daemon._time_limits import call_time_limit
from cowslipstep.groups import HostReport, HostState
from cowslipstep.platform import CheckedResponse

_OK = 200
_HEALTH_TIMEOUT_S = 0.5
_MAX_HEALTH_BYTES = 1048576


def request_health(connection: HTTPConnection) -> dict[str, Any]:
    """Request the health of a host and return the JSON document.

    Explanation
    -----------
    The request is written to the socket directly. It is the same in each
    probe, and ``HTTPConnection.request`` would assemble it each time.

    Raises
    ------
    OSError
        If the connection fails.
    HTTPException
        If the response is incomplete or its status is not 200.
    ValueError
        If the body of the response is not JSON.
    """
    if connection.sock is None:
        connection.connect()
    host = f'{connection.host}:{connection.port}'
    connection.send(f'GET /health HTTP/1.1\r\nHost: {host}\r\n\r\n'.encode())
    response = CheckedResponse(connection.sock, method='GET')
    with contextlib.closing(response), call_time_limit(_HEALTH_TIMEOUT_S):
        response.begin()
        if response.status != _OK:
            raise HTTPException(f'expected status 200, got {response.status}')
        document = _parse(_read_bounded(response))
    if response.will_close:
        connection.close()
    return document


def _read_bounded(response: CheckedResponse) -> bytes:
    body = response.read(_MAX_HEALTH_BYTES + 1)
    if len(body) > _MAX_HEALTH_BYTES:
        raise HTTPException(f'expected at most {_MAX_HEALTH_BYTES} bytes')
    return body


def _parse(body: bytes) -> dict[str, Any]:
    try:
        return json.loads(body)
    except RecursionError:
        raise ValueError('the body is nested too deep') from None


def parse_health(document: dict[str, Any], sent_at_s: float) -> HostReport:
    """Return the report in a health document.

    ``sent_at_s`` is the clock reading at which its request was sent.
    """
    return HostReport(
        document['host'],
        document['group'],
        HostState(document['state']),
        sent_at_s,
        model=document['model'],
        unfinished_requests=document['running'] + document['waiting'],
        fencing_token=document.get('fence', 0),
        token_interval_s=document.get('token_s', 0),
    )
