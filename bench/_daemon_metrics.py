"""Figures that are read from the metrics of a daemon."""

from __future__ import annotations

import re

_HEADER_BYTES_PER_FRAME = 66


def wire_bytes(metrics: str) -> float:
    """Bytes sent to peers, with TCP and IP headers."""
    sent = _total(metrics, 'control_sent_bytes')
    frames = _total(metrics, 'control_sent_frames')
    return sent + frames * _HEADER_BYTES_PER_FRAME


def platform_calls(metrics: str) -> float:
    """Calls sent to the platform, without those over budget or backing off."""
    unsent = 'outcome="(?:over_budget|backing_off)"'
    sent_calls = re.sub(f'.*{unsent}.*', '', metrics)
    return _total(sent_calls, 'platform_calls_total')


def _total(metrics: str, name: str) -> float:
    pattern = rf'^cowslipstep_{name}(?:{{.*}})? (\S+)$'
    samples = re.findall(pattern, metrics, re.M)
    return sum(map(float, samples))
