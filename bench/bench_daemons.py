"""Cost of heartbeats, and the time until daemons use a configuration."""

from __future__ import annotations

import json
import statistics
import time
from collections.abc import Callable, Iterator

from _figures import Figure
from _idle_fleet import HTTP, idle_fleet

from cowslipstep.model import (
    GossipedLiveness,
    GroupReadiness,
    Heartbeat,
    ReadinessReport,
)
from cowslipstep.peers import (
    Frame,
    decode_frame,
    encode_frame,
    make_readiness_report,
)
from cowslipstep_standins._documents import fleet_configuration
from cowslipstep_standins._fleet import LocalFleet
from cowslipstep_standins._processes import wait_until

_REPEATS = 2000
_GROUPS = 30
_GOSSIPED_DAEMONS = 16
_DAEMONS = 9
_CONFIGURATION_CHANGES = 10
_MAX_ACTIVATION_S = 2
_US_PER_S = 1_000_000
_GOSSIP = tuple(
    GossipedLiveness(str(number), incarnation=1, age_s=1)
    for number in range(_GOSSIPED_DAEMONS)
)
_READINESS = tuple(
    GroupReadiness(str(number), remaining_s=1) for number in range(_GROUPS)
)


def figures() -> Iterator[Figure]:
    """Yield cost and size of heartbeats, and the time to activate changes."""
    complete_report = make_readiness_report(_READINESS, known_group_list=0)
    yield from _codec_figures(
        'renewal',
        make_readiness_report(_READINESS, complete_report.list_number),
    )
    yield from _codec_figures('whole_table', complete_report)
    yield _activation_figure()


def _codec_figures(name: str, report: ReadinessReport) -> Iterator[Figure]:
    message = Heartbeat('d0', 1, 1, readiness=report, gossip=_GOSSIP)
    frame = Frame(1, reply=True, message=message)
    payload = encode_frame(frame)
    prefix = f'daemons.heartbeat_{name}'
    operation_us = _mean_us(lambda: encode_frame(frame))
    yield Figure(f'{prefix}.encode', operation_us, 'us')
    operation_us = _mean_us(lambda: decode_frame(payload))
    yield Figure(f'{prefix}.decode', operation_us, 'us')
    yield Figure(f'{prefix}.size', len(payload), 'bytes')


def _mean_us(operation: Callable[[], object]) -> float:
    started_s = time.perf_counter()
    for _ in range(_REPEATS):
        operation()
    return (time.perf_counter() - started_s) / _REPEATS * _US_PER_S


def _activation_figure() -> Figure:
    with idle_fleet(_DAEMONS) as fleet:
        activation_times_s = [
            _activation_time_s(fleet, number)
            for number in range(_CONFIGURATION_CHANGES)
        ]
        return Figure(
            'daemons.configuration_in_force_median',
            statistics.median(activation_times_s),
            's',
            bound=_MAX_ACTIVATION_S,
        )


def _activation_time_s(fleet: LocalFleet, number: int) -> float:
    document = fleet_configuration(fleet.plan)
    document['key_retention_s'] = number + 1
    started_s = time.monotonic()
    version = _replace_configuration(fleet.plan.platform, json.dumps(document))
    wait_until(
        lambda: _active_versions(fleet) == {version}, 'all daemons use it'
    )
    return time.monotonic() - started_s


def _replace_configuration(platform: str, document: str) -> int:
    url = f'http://{platform}/objects/configuration/fleet'
    current_version = json.loads(HTTP.request('GET', url).data)['version']
    response = HTTP.request(
        'PUT',
        f'{url}?version={current_version}',
        body=json.dumps({'body': document}),
    )
    return int(json.loads(response.data)['version'])


def _active_versions(fleet: LocalFleet) -> set[int]:
    responses = [
        HTTP.request('GET', f'http://{daemon.http}/readyz')
        for daemon in fleet.plan.daemons
    ]
    return {json.loads(response.data)['version'] for response in responses}
