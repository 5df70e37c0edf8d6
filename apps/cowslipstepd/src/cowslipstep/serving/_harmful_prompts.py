"""Prompts that this daemon refuses because they end upstreams."""

from __future__ import annotations

import time
import uuid
from collections.abc import Iterable
from eventlet.queue import Full, LightQueue
from loguru import logger

from cowslipstep.fleet import CallerRequest
from cowslipstep.model import NotRun, Reason
from cowslipstep.routing.prompts import (
    Combination,
    PromptFailure,
    PromptGuard,
    RecordedFailure,
    shared_combinations,
)
from cowslipstep.serving._prompt_evidence import (
    Evidence,
    SharedEvidence,
    SoundPart,
    counted_evidence,
)

# Such a request fails until its evidence expires, so there is no hurry.
_RETRY_AFTER_S = 10
# Records that wait to be written; what exceeds them stays local.
_MAX_QUEUED = 64


class HarmfulPrompts:
    """Decides which prompts are refused, from the evidence of all daemons.

    Evidence of this daemon counts at once; tasks of its own write it.
    """

    def __init__(self) -> None:
        self.evidence = SharedEvidence(self.refresh)
        self.failures_to_write = LightQueue(_MAX_QUEUED)
        self.sound_parts_to_write = LightQueue(_MAX_QUEUED)
        self.guard = PromptGuard()
        self._shared_parts: frozenset[str] = frozenset()

    def refusal(self, request: CallerRequest) -> NotRun | None:
        """Return why a request is refused, if its prompt is harmful."""
        if self.guard.refuses(request.shared_prompt_parts):
            return NotRun(Reason.harmful_prompt, _RETRY_AFTER_S)
        return None

    def begin_trial(self, request: CallerRequest) -> None:
        """Record that a request is sent although its prompt is refused."""
        parts = request.shared_prompt_parts
        logger.bind(request_id=request.request_id, prompt_parts=parts).info(
            'refused prompt is tried again'
        )
        self.guard.trials.begin(parts, time.time())

    def record_failure(self, request: CallerRequest, upstream: str) -> None:
        """Record that an upstream ended before it began to respond."""
        now_s = time.time()
        parts = self.guard.known.unclear(request.shared_prompt_parts, now_s)
        if not parts:
            return
        unique = uuid.uuid4().hex
        failure = PromptFailure(request.request_id, parts, upstream)
        record = RecordedFailure(f'failure-{unique}', failure, now_s)
        self.evidence.put(record)
        _enqueue(self.failures_to_write, record)
        self.refresh()

    def clear(self, request: CallerRequest) -> None:
        """Clear the parts of a request whose response has begun."""
        parts = request.shared_prompt_parts
        now_s = time.time()
        cleared = self._shared_parts.intersection(parts)
        _enqueue_sound(self.sound_parts_to_write, cleared)
        if self.guard.begin_response(parts, now_s):
            self.refresh()

    def refresh(self) -> None:
        """Decide anew which prompts are refused."""
        now_s = time.time()
        known = self.guard.combinations
        evidence = counted_evidence(self.evidence)
        self.guard.decide(*evidence, now_s)
        _log_changes(known, self.guard.combinations)
        suspected = frozenset().union(*shared_combinations(*evidence, now_s))
        # Daemons without responses of their own do not know what is sound.
        sound = self.guard.known.sound(suspected - self._shared_parts, now_s)
        self._shared_parts = suspected
        _enqueue_sound(self.sound_parts_to_write, sound)

    def is_suspected(self, part: str) -> bool:
        """Return whether a part is suspected by what is stored."""
        return part in self._shared_parts


def _enqueue_sound(queue: LightQueue, parts: Iterable[str]) -> None:
    for part in parts:
        _enqueue(queue, SoundPart(part, time.time()))


def _enqueue(queue: LightQueue, evidence: Evidence) -> None:
    try:
        queue.put_nowait(evidence)
    except Full:
        logger.warning('too much evidence to write, {} stays local', evidence)


def _log_changes(
    known: frozenset[Combination], current: frozenset[Combination]
) -> None:
    for harmful in current - known:
        logger.bind(prompt_parts=sorted(harmful)).warning(
            'prompts with these parts end upstreams and are refused'
        )
    for dropped in known - current:
        logger.bind(prompt_parts=sorted(dropped)).info(
            'prompts are no longer refused for these parts'
        )
