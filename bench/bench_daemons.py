"""Messages between daemons, and the time until a configuration is in force."""

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
_NEWS = 16
_DAEMONS = 9
_CHANGES = 10
_IN_FORCE_BOUND_S = 2
_MICROSECONDS = 1_000_000
_TOLD = tuple(
    GossipedLiveness(str(number), incarnation=1, age_s=1)
    for number in range(_NEWS)
)
_READY = tuple(
    GroupReadiness(str(number), remaining_s=1) for number in range(_GROUPS)
)


def figures() -> Iterator[Figure]:
    """Yield microseconds and bytes of heartbeats, and seconds to force."""
    whole = make_readiness_report(_READY, known_group_list=0)
    yield from _codec_figures(
        'renewal', make_readiness_report(_READY, whole.list_number)
    )
    yield from _codec_figures('whole_table', whole)
    yield _in_force_figure()


def _codec_figures(name: str, report: ReadinessReport) -> Iterator[Figure]:
    message = Heartbeat('d0', 1, 1, readiness=report, gossip=_TOLD)
    frame = Frame(1, reply=True, message=message)
    payload = encode_frame(frame)
    prefix = f'daemons.heartbeat_{name}'
    spent_us = _microseconds(lambda: encode_frame(frame))
    yield Figure(f'{prefix}.encode', spent_us, 'us')
    spent_us = _microseconds(lambda: decode_frame(payload))
    yield Figure(f'{prefix}.decode', spent_us, 'us')
    yield Figure(f'{prefix}.size', len(payload), 'bytes')


def _microseconds(call: Callable[[], object]) -> float:
    started_s = time.perf_counter()
    for _ in range(_REPEATS):
        call()
    return (time.perf_counter() - started_s) / _REPEATS * _MICROSECONDS


def _in_force_figure() -> Figure:
    with idle_fleet(_DAEMONS) as fleet:
        times = [_time_to_force(fleet, number) for number in range(_CHANGES)]
        return Figure(
            'daemons.configuration_in_force_median',
            statistics.median(times),
            's',
            bound=_IN_FORCE_BOUND_S,
        )


def _time_to_force(fleet: LocalFleet, number: int) -> float:
    document = fleet_configuration(fleet.plan)
    document['key_retention_s'] = number + 1
    started_s = time.monotonic()
    version = _submit(fleet.plan.platform, json.dumps(document))
    wait_until(lambda: _versions(fleet) == {version}, 'in force')
    return time.monotonic() - started_s


def _submit(platform: str, document: str) -> int:
    url = f'http://{platform}/objects/configuration/fleet'
    known = json.loads(HTTP.request('GET', url).data)['version']
    answer = HTTP.request(
        'PUT',
        f'{url}?version={known}',
        body=json.dumps({'body': document}),
    )
    return int(json.loads(answer.data)['version'])


def _versions(fleet: LocalFleet) -> set[int]:
    answers = [
        HTTP.request('GET', f'http://{daemon.http}/readyz')
        for daemon in fleet.plan.daemons
    ]
    return {json.loads(answer.data)['version'] for answer in answers}
