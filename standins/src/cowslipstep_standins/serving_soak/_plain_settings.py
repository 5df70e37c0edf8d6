"""Settings, configuration and encodings of the daemons of a soak."""

from __future__ import annotations

import json
import pathlib
from typing import Any

from cowslipstep.fleet import (
    CallerLimits,
    RequestKind,
    Route,
    ServiceConfiguration,
    ServingConfiguration,
    WeightedService,
)
from cowslipstep.model import Address
from cowslipstep.serving import Dialects
from cowslipstep.settings import ServingBounds, ServingSettings
from cowslipstep_standins.serving_soak._plain_commands import PlainCommands
from cowslipstep_standins.serving_soak._plain_requests import PlainRequests
from cowslipstep_standins.serving_soak._plain_store import PLAIN_STORE
from cowslipstep_standins.takeovers._controlling_daemon import ENGINE
from cowslipstep_standins.takeovers._grouped_runner import (
    SERVICE,
    decode_runner,
)

LOOPBACK = '127.0.0.1'
HOST = 'soak.example'
PATH = '/stream/'
_ROUTE = Route(
    'stream',
    HOST,
    PATH,
    RequestKind.streaming,
    (WeightedService(SERVICE),),
    timeout_s=8,
    objective_s=1,
    max_attempts=2,
    resumable=True,
    max_gap_s=0.1,
)
_CALLS_PER_S = 1000
_GRACE_S = 6
_MAX_BODY_BYTES = 1000


def load_settings(path: str) -> ServingSettings:
    """Read the settings file of a daemon."""
    document: dict[str, Any] = json.loads(pathlib.Path(path).read_text())
    callers, readiness, peers, store = (
        Address(LOOPBACK, port) for port in document['ports']
    )
    return ServingSettings(
        document['name'],
        'north',
        callers,
        readiness,
        '/ready',
        peers,
        store,
        platform_reads_per_s=_CALLS_PER_S,
        platform_writes_per_s=_CALLS_PER_S,
        bounds=ServingBounds(grace_s=_GRACE_S),
    )


def _configuration(_document: str) -> ServingConfiguration:
    """Return the configuration, which never changes."""
    service = ServiceConfiguration(SERVICE, ENGINE)
    limits = CallerLimits(_MAX_BODY_BYTES)
    return ServingConfiguration(1, (_ROUTE,), {SERVICE: service}, limits)


DIALECTS = Dialects(
    PLAIN_STORE,
    PlainRequests(),
    PlainCommands(),
    _configuration,
    decode_runner,
)
