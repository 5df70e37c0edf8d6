"""Tries of a completion: slot, upstream call, retry or resumption."""

from __future__ import annotations

import time
from collections.abc import Iterator

import attrs
import eventlet

from cowslipstep.daemon._completions import CallerRequest, upstream_call
from cowslipstep.daemon._outcomes import Timings
from cowslipstep.daemon._pauses import PauseWatch
from cowslipstep.daemon._relay import Piece, relay_stream, relay_whole
from cowslipstep.daemon._run_state import RunState
from cowslipstep.daemon._slots import Slot, SlotService
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._tasks import start_task
from cowslipstep.daemon._upstream import UpstreamFailure, UpstreamPool
from cowslipstep.delivery import upstreams_to_avoid
from cowslipstep.model import NotRun, Reason


class TryRefused(UpstreamFailure):
    """There was no slot, or no time left, for a try."""


class GrantLapsed(UpstreamFailure):
    """The daemon was paused for so long that its grant is void."""


class CompletionTries:
    """Makes single tries of completions.

    Parameters
    ----------
    state
        State of the daemon.
    slots
        Gives slots.
    """

    def __init__(self, state: DaemonState, slots: SlotService) -> None:
        self._state = state
        self._timings = Timings(state)
        self._pauses = PauseWatch()
        start_task('pauses', lambda: self._pauses.run(eventlet.sleep))
        self._slots = slots
        self._upstreams = UpstreamPool()

    def once(self, caller: CallerRequest, run: RunState) -> Iterator[Piece]:
        """Yield the pieces of an answer from one group.

        Raises
        ------
        TryRefused
            If nothing was sent.
        UpstreamFailure
            If the group gave no whole answer.
        """
        request = attrs.evolve(caller.request, timeout_s=run.remaining_s)
        asked_s = time.monotonic()
        avoid = upstreams_to_avoid(run.avoid, self._groups(request.model))
        with self._slots.slot(request, avoid) as held:
            waited_s = time.monotonic() - asked_s
            self._timings.record('queue_wait', caller.labels, waited_s)
            match held:
                case NotRun():
                    raise TryRefused(held, 'no group has room')
                case Slot():
                    yield from self._send(caller, held, run)

    def _groups(self, model: str) -> set[str]:
        return {
            group.name
            for ledger in self._state.ledgers.values()
            for group in ledger.groups
            if group.model == model
        }

    def _send(
        self,
        caller: CallerRequest,
        held: Slot,
        run: RunState,
    ) -> Iterator[Piece]:
        relay = relay_stream if caller.stream else relay_whole
        call = upstream_call(caller, held.grant.address, run)
        earlier_tokens = run.stream.tokens
        self._raise_if_late(held, run)
        run.avoid.append(held.grant.group)
        run.note_sending()
        try:
            for piece in relay(self._upstreams, call, run):
                held.use.streamed_tokens = run.stream.tokens - earlier_tokens
                yield piece
        except UpstreamFailure:
            held.use.failed = True
            raise

    def _raise_if_late(self, held: Slot, run: RunState) -> None:
        """Check deadline and grant at the moment of use."""
        if run.overdue:
            raise TryRefused(NotRun(Reason.deadline), 'the deadline has passed')
        age_s = time.monotonic() - held.renewed_s
        if age_s + self._pauses.recent_pause_s() > held.grant.startable_s:
            raise GrantLapsed(NotRun(Reason.not_ready), 'the grant has lapsed')
