"""Probes of the processes of a local fleet over HTTP."""

from __future__ import annotations

from typing import Any

import urllib3

_REQUEST_TIMEOUT_S = 1


def is_responding(http: urllib3.PoolManager, address: str) -> bool:
    """Whether a stand-in responds."""
    return _get(http, address, 'standin') is not None


def formed_groups(
    http: urllib3.PoolManager,
    addresses: list[str],
) -> set[str]:
    """Return the names of the groups that the hosts report."""
    responses = [_get(http, address, 'health') for address in addresses]
    return {
        response.json()['group']
        for response in responses
        if response is not None
    } - {''}


def _get(http: urllib3.PoolManager, address: str, path: str) -> Any:
    try:
        return http.request(
            'GET', f'http://{address}/{path}', timeout=_REQUEST_TIMEOUT_S
        )
    except urllib3.exceptions.HTTPError:
        return None
