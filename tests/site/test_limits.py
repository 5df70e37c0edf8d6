"""Limits of the machine and of the configuration on what callers send."""

from __future__ import annotations

import json
import math

import pytest

from cowslipstep.fleet import CallerLimits
from cowslipstep_site import decode_configuration, decode_settings

SETTINGS = """
nodeName = "edge-1"
ip = "10.1.0.40"
zone = "north"
internalPorts = [7340, 7355]
[listen]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
[platform]
address = "10.200.1.7:8223"
writesPerS = 400
readsPerS = 2000
"""


def limits_of(limits: dict[str, int]) -> CallerLimits:
    document = {'version': 1, 'routes': [], 'services': [], 'limits': limits}
    return decode_configuration(json.dumps(document)).limits


@pytest.mark.parametrize(
    ('limits', 'memory_bytes'),
    [('', math.inf), ('[limits]\nmemoryMb = 200', 200_000_000)],
)
def test_memory_of_the_machine(limits: str, memory_bytes: float) -> None:
    assert decode_settings(SETTINGS + limits).memory_bytes == memory_bytes


def test_longest_head() -> None:
    assert limits_of({'maxHeaderBytes': 16384}).max_head_bytes == 16384
    assert limits_of({}) == CallerLimits()
