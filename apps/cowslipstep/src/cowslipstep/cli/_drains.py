"""Drains: operators' orders that a host or group takes no new work."""

from __future__ import annotations

import json
import time

from attrs import field, frozen, validators

from cowslipstep.cli._exits import NotWell
from cowslipstep.cli._output import progress_line
from cowslipstep.cli._readable import decode_each
from cowslipstep.platform import (
    ObjectKey,
    ObjectMissing,
    PlatformClient,
    VersionConflict,
)
from cowslipstep.settings import parse_json

_KIND = 'drain'
_ASKED = 'asked'
_DRAINED = 'drained'
_WAIT_TIMEOUT_S = 600
_POLL_S = 0.5


@frozen
class Drain:
    """A drain and how far its keeper is: asked, draining or drained."""

    target: str
    kind: str = field(validator=validators.in_(('host', 'group')))
    state: str = _ASKED

    def __str__(self) -> str:
        return f'drain of {self.kind} {self.target}: {self.state}'


def read_drains(platform: PlatformClient) -> tuple[Drain, ...]:
    """Read all drains."""
    return tuple(decode_each(platform.read_all(_KIND), _decode))


def ask_drain(platform: PlatformClient, drain: Drain) -> None:
    """Ask for a drain; asking twice does no harm."""
    body = json.dumps({'target': drain.target, 'kind': drain.kind})
    try:
        platform.create(ObjectKey(_KIND, drain.target), body)
    except VersionConflict:
        return


def end_drain(platform: PlatformClient, target: str) -> None:
    """End a drain.

    Raises
    ------
    NotWell
        If the target is not drained.
    """
    key = ObjectKey(_KIND, target)
    try:
        platform.delete(key, platform.read(key).version)
    except ObjectMissing:
        raise NotWell(f'{target} is not drained') from None


def wait_drained(platform: PlatformClient, target: str) -> Drain:
    """Wait until the keeper says that no work is left; return the drain.

    Raises
    ------
    NotWell
        If that takes too long, or the drain was ended.
    """
    end_s = time.monotonic() + _WAIT_TIMEOUT_S
    with progress_line() as progress:
        while time.monotonic() < end_s:
            drain = _read(platform, target)
            progress.show(str(drain))
            if drain.state == _DRAINED:
                return drain
            time.sleep(_POLL_S)
    raise NotWell(f'{target} is not drained after {_WAIT_TIMEOUT_S} s')


def _read(platform: PlatformClient, target: str) -> Drain:
    try:
        return _decode(platform.read(ObjectKey(_KIND, target)).body)
    except ObjectMissing:
        raise NotWell(f'the drain of {target} was ended') from None


def _decode(text: str) -> Drain:
    document = parse_json(text)
    if not isinstance(document, dict):
        raise TypeError('expected an object')
    # Keepers add fields of their own to the object.
    progress = document.get('status') or document.get('state') or _ASKED
    return Drain(document['target'], document['kind'], progress)
