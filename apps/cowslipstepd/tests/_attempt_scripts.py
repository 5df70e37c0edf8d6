"""Attempts that follow scripts, in simulated time and without sockets."""

from __future__ import annotations

import itertools
import time
from typing import Any

import eventlet
from _scripted_runners import event
from attrs import define, frozen

from cowslipstep.daemon._read_limits import Silence
from cowslipstep.daemon._upstream_failures import (
    ConnectionEnded,
    UpstreamFailure,
)
from cowslipstep.model import MayHaveRun, Reason

EVENT_COUNT = 3
_PART_BYTES = 4
_EVENT_END = b'\n\n'
_OK = 200
_UNAVAILABLE = 503


@frozen
class Wait:
    """Send nothing for this time, seconds."""

    duration_s: float


@frozen
class SendEvents:
    """Send this many of the events that are left, or as many as are left."""

    count: int


@frozen
class SendPart:
    """Send the first bytes of the next event, if there is one."""


@frozen
class BreakOff:
    """Close the connection within the response."""


@frozen
class Refuse:
    """State that the request has not run."""


Step = Wait | SendEvents | SendPart | BreakOff | Refuse
# A runner that has carried out all steps sends what is left and ends properly.
Script = tuple[Step, ...]


@define
class ScriptedResponse:
    """A response of a sound runner that goes on after an event.

    Attributes
    ----------
    script
        Steps that are left.
    unsent
        Bytes of the events that are left.
    """

    script: list[Step]
    unsent: bytes
    status: int = _OK
    content_coding: str = ''
    ends_with_connection: bool = False

    @property
    def headers(self) -> list[tuple[str, str]]:
        """Headers of the response."""
        return [('Signature' if self.status == _OK else 'Not-Run', 'x')]

    def read_chunk(self, timeout_s: float, silence: Silence) -> bytes:
        """Return the next bytes of the body; empty at its end."""
        deadline_s = time.monotonic() + timeout_s
        while self.script:
            sent = self._carry_out(self.script.pop(0), deadline_s, silence)
            if sent:
                return sent
        return self._take(len(self.unsent))

    def _carry_out(
        self, step: Step, deadline_s: float, silence: Silence
    ) -> bytes:
        match step:
            case Wait(duration_s):
                wait(time.monotonic() + duration_s, deadline_s, silence)
            case SendEvents(count):
                return self._take(_bytes_of(self.unsent, count))
            case SendPart():
                return self._take(_PART_BYTES)
            case BreakOff() | Refuse():
                raise ConnectionEnded(MayHaveRun(Reason.upstream_cut), 'cut')
        return b''

    def _take(self, size: int) -> bytes:
        sent = self.unsent[:size]
        self.unsent = self.unsent[size:]
        return sent


def wait(until_s: float, deadline_s: float, silence: Silence) -> None:
    """Wait like the reader of a connection on which nothing arrives."""
    silent_at_s = time.monotonic() + silence.after_s
    while time.monotonic() < until_s:
        if time.monotonic() >= deadline_s:
            raise UpstreamFailure(MayHaveRun(Reason.upstream_timeout), 'late')
        if time.monotonic() >= silent_at_s:
            silent_at_s = time.monotonic() + silence.on_silence()
        next_s = min(until_s, deadline_s, silent_at_s)
        with silence.interruption.allowed():
            eventlet.sleep(next_s - time.monotonic())


def respond(script: Script, request: Any) -> ScriptedResponse:
    """Return the response to a request, after the waits before its head."""
    deadline_s = time.monotonic() + request.response_timeout_s
    before_head = list(itertools.takewhile(_is_wait, script))
    for step in before_head:
        until_s = time.monotonic() + step.duration_s
        wait(until_s, deadline_s, request.silence)
    rest = list(script[len(before_head) :])
    if rest[:1] == [Refuse()]:
        return ScriptedResponse([], b'', _UNAVAILABLE)
    return ScriptedResponse(rest, _events_after(request))


def _events_after(request: Any) -> bytes:
    begun = int(request.headers.get('Last-Event-Id', '-1')) + 1
    return b''.join(map(event, range(begun, EVENT_COUNT)))


def _is_wait(step: Step) -> bool:
    return isinstance(step, Wait)


def _bytes_of(unsent: bytes, count: int) -> int:
    events = unsent.split(_EVENT_END)
    after = _EVENT_END.join(events[count:])
    return len(unsent) - len(after)
