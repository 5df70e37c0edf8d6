"""Drain objects at the platform.

An operator creates one so that a host or group gets no new work; the daemons
that carry it out write its progress into it.
"""

from __future__ import annotations

import json
import time

from attrs import field, frozen, validators

from cowslipstep.cli._decoding import decode_each
from cowslipstep.cli._errors import ProblemFound
from cowslipstep.cli._output import progress_line
from cowslipstep.platform import (
    ObjectKey,
    ObjectMissing,
    PlatformClient,
    VersionConflict,
)
from cowslipstep.settings import parse_json

_KIND = 'drain'
_REQUESTED = 'asked'
_DRAINED = 'drained'
_WAIT_TIMEOUT_S = 600
_POLL_PERIOD_S = 0.5


@frozen
class Drain:
    """A drain of a host or group and its progress.

    Parameters
    ----------
    target
        Name of the host or group.
    kind
        ``host`` or ``group``.
    state
        ``asked`` until a daemon carries it out, then ``draining``, at last
        ``drained``.
    """

    target: str
    kind: str = field(validator=validators.in_(('host', 'group')))
    state: str = _REQUESTED

    def __str__(self) -> str:
        return f'drain of {self.kind} {self.target}: {self.state}'


def read_drains(platform: PlatformClient) -> tuple[Drain, ...]:
    """Read all drains."""
    return tuple(decode_each(platform.read_all(_KIND), _decode))


def request_drain(platform: PlatformClient, drain: Drain) -> None:
    """Create the drain object; do nothing if the target has one already."""
    body = json.dumps({'target': drain.target, 'kind': drain.kind})
    try:
        platform.create(ObjectKey(_KIND, drain.target), body)
    except VersionConflict:
        return


def end_drain(platform: PlatformClient, target: str) -> None:
    """Delete the drain object of a target.

    Raises
    ------
    ProblemFound
        If the target has no drain.
    """
    key = ObjectKey(_KIND, target)
    try:
        platform.delete(key, platform.read(key).version)
    except ObjectMissing:
        raise ProblemFound(f'{target} is not drained') from None


def wait_until_drained(platform: PlatformClient, target: str) -> Drain:
    """Wait until the state of the drain is ``drained``; return the drain.

    Raises
    ------
    ProblemFound
        If that takes longer than ten minutes, or the drain was ended.
    """
    end_s = time.monotonic() + _WAIT_TIMEOUT_S
    with progress_line() as progress:
        while time.monotonic() < end_s:
            drain = _read(platform, target)
            progress.show(str(drain))
            if drain.state == _DRAINED:
                return drain
            time.sleep(_POLL_PERIOD_S)
    raise ProblemFound(f'{target} is not drained after {_WAIT_TIMEOUT_S} s')


def _read(platform: PlatformClient, target: str) -> Drain:
    try:
        return _decode(platform.read(ObjectKey(_KIND, target)).body)
    except ObjectMissing:
        raise ProblemFound(f'the drain of {target} was ended') from None


def _decode(text: str) -> Drain:
    document = parse_json(text)
    if not isinstance(document, dict):
        raise TypeError(f'expected an object, got {type(document).__name__}')
    # The daemon that carries out the drain adds ``status`` and other fields.
    progress = document.get('status') or document.get('state') or _REQUESTED
    return Drain(document['target'], document['kind'], progress)
