"""Request path: latency that a daemon adds, and its relay throughput."""

from __future__ import annotations

import itertools
import json
import statistics
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import urllib3
from _figures import Figure

from cowslipstep_standins._fleet import LocalFleet, local_fleet
from cowslipstep_standins._plan import FleetShape

_FIRST_TOKEN_TARGET_S = 1
_PEAK_TOKENS_PER_S = 1_500_000
_DAEMONS_AT_PEAK = 340
_MAX_OVERHEAD_SHARE = 0.05
_LATENCY_CALLS = 60
_CONCURRENT_STREAMS = 24
_TOKENS_PER_STREAM = 1500
_READ_BYTES = 65536
_TOKEN_S = 0.001
_SHAPE = FleetShape(
    hosts_per_domain=4,
    slots=_CONCURRENT_STREAMS,
    token_s=_TOKEN_S,
)
_REQUEST_TIMEOUT_S = 60


def figures() -> Iterator[Figure]:
    """Yield the time to the first byte and the relayed chunks a second."""
    with local_fleet(_SHAPE) as fleet:
        daemon = fleet.plan.daemons[0].http
        engine = _leader_address(fleet)
        direct_s = _median_first_byte_s(engine)
        relayed_s = _median_first_byte_s(daemon)
        yield Figure(
            'path.first_byte_ratio',
            relayed_s / direct_s,
            'ratio',
            baseline=1,
        )
        yield Figure(
            'path.first_byte_overhead_of_target',
            (relayed_s - direct_s) / _FIRST_TOKEN_TARGET_S,
            'ratio',
            bound=_MAX_OVERHEAD_SHARE,
            baseline=0,
        )
        yield Figure(
            'path.chunks_per_s',
            _chunks_per_s(daemon),
            'chunks/s',
            bound=_PEAK_TOKENS_PER_S / _DAEMONS_AT_PEAK,
            baseline=_chunks_per_s(engine),
            at_least=True,
        )


def _leader_address(fleet: LocalFleet) -> str:
    leaders = [
        host.address
        for host in fleet.plan.hosts
        if fleet.control(host.address)['runs']
    ]
    return leaders[0]


def _send_completion(
    http: urllib3.PoolManager, address: str, tokens: int
) -> Any:
    body = {
        'model': 'drafting',
        'prompt': 'bench',
        'max_tokens': tokens,
        'stream': True,
    }
    return http.request(
        'POST',
        f'http://{address}/v1/completions',
        body=json.dumps(body),
        headers={'Authorization': 'Bearer key-grid-a'},
        preload_content=False,
        timeout=_REQUEST_TIMEOUT_S,
    )


def _median_first_byte_s(address: str) -> float:
    http = urllib3.PoolManager()
    return statistics.median(
        _first_byte_s(http, address) for _ in range(_LATENCY_CALLS)
    )


def _first_byte_s(http: urllib3.PoolManager, address: str) -> float:
    started_s = time.perf_counter()
    response = _send_completion(http, address, 2)
    response.read1(1)
    first_byte_s = time.perf_counter() - started_s
    response.read()
    response.release_conn()
    return first_byte_s


def _chunks_per_s(address: str) -> float:
    started_s = time.perf_counter()
    with ThreadPoolExecutor(_CONCURRENT_STREAMS) as pool:
        chunks = sum(
            pool.map(
                _count_chunks, itertools.repeat(address, _CONCURRENT_STREAMS)
            )
        )
    return chunks / (time.perf_counter() - started_s)


def _count_chunks(address: str) -> int:
    response = _send_completion(
        urllib3.PoolManager(), address, _TOKENS_PER_STREAM
    )
    chunks = 0
    while True:
        received = response.read1(_READ_BYTES)
        if not received:
            return chunks
        chunks += received.count(b'id: ')
