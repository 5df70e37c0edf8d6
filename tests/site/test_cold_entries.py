"""Decoding of how long runners are cold, and of the limits on them."""

from __future__ import annotations

import json

import pytest

from cowslipstep.fleet import ColdStart
from cowslipstep.model import DocumentError
from cowslipstep_site import (
    decode_configuration,
    decode_runner,
    decode_settings,
)

SETTINGS = """
nodeName = "d0"
zone = "north"
ip = "127.0.0.1"
internalPorts = [1, 2]
listen = {front = "127.0.0.1:1", ready = "127.0.0.1:2"}
platform = {address = "127.0.0.1:3", readsPerS = 1, writesPerS = 1}
"""


def cold_s(**fields: object) -> float | None:
    entry = {
        'service': 'drafting',
        'address': '10.1.2.3:8080',
        'zone': 'north',
        'state': 'ready',
        **fields,
    }
    return decode_runner('i-1', json.dumps(entry)).cold_s


def cold_start(**fields: object) -> ColdStart | None:
    document = {
        'version': 1,
        'routes': [],
        'services': [{'name': 'drafting', **fields}],
    }
    decoded = decode_configuration(json.dumps(document))
    return decoded.services['drafting'].cold


def test_time_until_a_runner_is_warm_is_read() -> None:
    assert cold_s(coldRemainingMs=2000) == 2
    assert cold_s(coldRemainingMs=0) == 0
    assert cold_s() is None


# A runner with a wrong time must not be removed.
@pytest.mark.parametrize('wrong', [-1, '3000', True, [], {}, 1e300])
def test_wrong_time_counts_as_unknown(wrong: object) -> None:
    assert cold_s(coldRemainingMs=wrong) is None


def test_limits_of_a_service_are_read() -> None:
    assert cold_start(coldStartS=3, coldPerS=26) == ColdStart(3, 26)
    assert cold_start(coldStartS=3, coldPerS=0) is None
    assert cold_start() is None


@pytest.mark.parametrize('wrong', [-1, '26', True, [1]])
def test_wrong_limit_of_a_service_is_refused(wrong: object) -> None:
    with pytest.raises(DocumentError):
        cold_start(coldStartS=3, coldPerS=wrong)


def test_bounds_are_read() -> None:
    bounds = decode_settings(
        f'{SETTINGS}bounds = {{coldOverage = 1.5, coldSlack = 5}}'
    ).bounds
    assert (bounds.cold_overage, bounds.cold_slack) == (1.5, 5)
    assert decode_settings(SETTINGS).bounds.cold_overage is None
