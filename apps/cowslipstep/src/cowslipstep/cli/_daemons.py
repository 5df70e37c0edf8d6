"""Queries to the HTTP endpoints of daemons."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

import urllib3
from attrs import frozen

from cowslipstep.metrics import DaemonIdentity
from cowslipstep.platform import CheckedPools

_RESPONSE_TIMEOUT_S = 2


@frozen
class DaemonState:
    """Readiness of a daemon, as it reports it to this tool.

    Parameters
    ----------
    name
        Name of the daemon.
    failure_domain
        Failure domain of its host.
    address
        Address of its HTTP endpoint for callers, ``ip:port``.
    reachable
        Whether it responded with a JSON object.
    ready
        Whether it accepts requests.
    version
        Version of the configuration that it has in force; zero if it was
        not reachable.
    """

    name: str
    failure_domain: str
    address: str
    reachable: bool = False
    ready: bool = False
    version: int = 0


def query_daemons(daemons: Iterable[DaemonIdentity]) -> tuple[DaemonState, ...]:
    """Query the readiness and configuration version of each daemon."""
    http = CheckedPools(retries=False)
    return tuple(_query(http, daemon) for daemon in daemons)


def get_json(http: urllib3.PoolManager, address: str, path: str) -> Any:
    """Return the JSON body of a GET; ``None`` if it fails or is not JSON."""
    text = get_text(http, address, path)
    try:
        return json.loads(text or '')
    except ValueError:
        return None


def get_text(
    http: urllib3.PoolManager,
    address: str,
    path: str,
) -> str | None:
    """Return the body of a GET of any status; ``None`` if the call fails."""
    try:
        response = http.request(
            'GET',
            f'http://{address}{path}',
            timeout=_RESPONSE_TIMEOUT_S,
        )
    except urllib3.exceptions.HTTPError:
        return None
    return response.data.decode(errors='replace')


def _query(http: urllib3.PoolManager, daemon: DaemonIdentity) -> DaemonState:
    identity = (daemon.name, daemon.failure_domain, daemon.http_address)
    readiness = get_json(http, daemon.http_address, '/readyz')
    if not isinstance(readiness, dict):
        return DaemonState(*identity)
    return DaemonState(
        *identity,
        reachable=True,
        ready=readiness.get('ready') is True,
        version=int(readiness.get('version', 0)),
    )
