"""One attempt of a completion request: its slot and its upstream call."""

from __future__ import annotations

import time
from collections.abc import Iterator

import attrs
import eventlet

from cowslipstep.daemon._backoffs import Backoffs
from cowslipstep.daemon._completion_requests import (
    CompletionRequest,
    upstream_call,
)
from cowslipstep.daemon._outcomes import Timings
from cowslipstep.daemon._pause_detector import PauseDetector
from cowslipstep.daemon._relay import ResponsePart, relay_buffered, relay_stream
from cowslipstep.daemon._run_state import RunState
from cowslipstep.daemon._slots import Slot, SlotService
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._tasks import start_task
from cowslipstep.daemon._upstream_failures import NotSent, UpstreamFailure
from cowslipstep.delivery import upstreams_to_avoid
from cowslipstep.model import NotRun, Reason


class AttemptRefused(UpstreamFailure):
    """An attempt was not made for lack of a slot or of time."""


class GrantExpired(UpstreamFailure):
    """The grant expired before use, such as in a pause of the daemon."""


class CompletionSender:
    """Sends completion requests to groups on which it holds a slot.

    Parameters
    ----------
    state
        State of the daemon.
    slots
        Obtains slots on groups.
    """

    def __init__(self, state: DaemonState, slots: SlotService) -> None:
        self._state = state
        self._timings = Timings(state)
        self._pauses = PauseDetector()
        start_task('pauses', lambda: self._pauses.run(eventlet.sleep))
        self._slots = slots
        self._backoffs = Backoffs()

    def send(
        self, completion: CompletionRequest, run: RunState
    ) -> Iterator[ResponsePart]:
        """Yield the response of one group.

        Raises
        ------
        AttemptRefused
            If there was no slot, or no time left, to send the request.
        GrantExpired
            If the grant expired before the request was sent.
        UpstreamFailure
            If the group did not respond completely.
        """
        request = attrs.evolve(completion.request, timeout_s=run.remaining_s)
        requested_at_s = time.monotonic()
        avoided_groups = self._avoided_groups(request.model, run)
        with self._slots.hold_slot(request, avoided_groups) as slot:
            waited_s = time.monotonic() - requested_at_s
            self._timings.record('queue_wait', completion.labels, waited_s)
            match slot:
                case NotRun():
                    raise AttemptRefused(slot, 'no group has a free slot')
                case Slot():
                    yield from self._send_to_group(completion, slot, run)

    def _avoided_groups(self, model: str, run: RunState) -> tuple[str, ...]:
        """Return the groups that the next attempt must not use.

        Raises
        ------
        AttemptRefused
            If all groups of the model want no requests.
        """
        names = self._group_names(model)
        refusal = self._backoffs.refusal(names)
        if refusal is not None:
            raise AttemptRefused(refusal, 'all groups want no requests now')
        backed_off = self._backoffs.names(names)
        return (
            *upstreams_to_avoid(run.attempted_upstreams, names - backed_off),
            *backed_off,
        )

    def _group_names(self, model: str) -> set[str]:
        return {
            group.name
            for ledger in self._state.ledgers.values()
            for group in ledger.groups
            if group.model == model
        }

    def _send_to_group(
        self,
        completion: CompletionRequest,
        slot: Slot,
        run: RunState,
    ) -> Iterator[ResponsePart]:
        relay = relay_stream if completion.stream else relay_buffered
        group = slot.grant.group
        call = self._backoffs.guarded(
            upstream_call(completion, slot.grant.address, run), group
        )
        earlier_tokens = run.stream_progress.tokens
        self._raise_if_expired(slot, run)
        run.attempted_upstreams.append(group)
        run.record_sending()
        try:
            with self._backoffs.observed(group):
                for part in relay(call, run):
                    slot.usage.streamed_tokens = (
                        run.stream_progress.tokens - earlier_tokens
                    )
                    yield part
        except NotSent:
            raise
        except UpstreamFailure:
            slot.usage.failed = True
            raise

    def _raise_if_expired(self, slot: Slot, run: RunState) -> None:
        """Check deadline and grant just before the request is sent."""
        if run.overdue:
            raise AttemptRefused(
                NotRun(Reason.deadline), 'the deadline has passed'
            )
        # A grant that arrived during a pause of the process was read after it,
        # and is older than the time since then by up to the whole pause.
        age_s = time.monotonic() - slot.renewed_at_s
        if age_s + self._pauses.recent_pause_s() > slot.grant.startable_s:
            raise GrantExpired(
                NotRun(Reason.not_ready),
                'the grant expired before the request was sent',
            )
