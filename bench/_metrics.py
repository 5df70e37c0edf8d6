"""Figures read from the metrics of a daemon."""

from __future__ import annotations

import re

_HEADER_BYTES = 66


def wire_bytes(metrics: str) -> float:
    """Bytes sent to peers, with TCP and IP headers."""
    sent = _total(metrics, 'control_sent_bytes')
    frames = _total(metrics, 'control_sent_frames')
    return sent + frames * _HEADER_BYTES


def platform_calls(metrics: str) -> float:
    """Calls sent to the platform."""
    refused = 'outcome="(?:over_budget|backing_off)"'
    kept = re.sub(f'.*{refused}.*', '', metrics)
    return _total(kept, 'platform_calls_total')


def _total(metrics: str, name: str) -> float:
    pattern = rf'^cowslipstep_{name}(?:{{.*}})? (\S+)$'
    found = re.findall(pattern, metrics, re.M)
    return sum(map(float, found))
