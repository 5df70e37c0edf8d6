"""Prompts that this daemon refuses because they end upstreams."""

from __future__ import annotations

import time
import uuid
from collections.abc import Iterable

from eventlet.queue import Full, LightQueue
from loguru import logger

from cowslipstep.fleet import CallerRequest
from cowslipstep.model import NotRun, Reason
from cowslipstep.routing import (
    Combination,
    PromptFailure,
    RecordedFailure,
    active_failures,
    harmful_combinations,
    is_harmful,
)
from cowslipstep.serving._prompt_evidence import (
    Evidence,
    SharedEvidence,
    SoundPart,
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
        self.combinations: frozenset[Combination] = frozenset()
        self._shared_combinations: frozenset[Combination] = frozenset()
        self._cleared_parts: dict[str, frozenset[str]] = {}

    def refusal(self, request: CallerRequest) -> NotRun | None:
        """Return why a request is refused, if its prompt is harmful."""
        if is_harmful(request.shared_prompt_parts, self.combinations):
            return NotRun(Reason.harmful_prompt, _RETRY_AFTER_S)
        return None

    def record_failure(self, request: CallerRequest) -> None:
        """Record that an upstream ended as it began to respond."""
        parts = request.shared_prompt_parts
        if not parts:
            return
        unique = uuid.uuid4().hex
        record = RecordedFailure(
            f'failure-{unique}',
            PromptFailure(request.request_id, parts),
            time.time(),
        )
        self.evidence.put(record)
        _enqueue(self.failures_to_write, record)
        self.refresh()

    def clear(self, request: CallerRequest) -> None:
        """Clear the parts of a request whose response has begun."""
        begun = frozenset(request.shared_prompt_parts)
        for part in filter(self.is_suspected, begun):
            _enqueue(self.sound_parts_to_write, SoundPart(part, time.time()))
        newly_cleared = {
            name: begun.union(self._cleared_parts.get(name, frozenset()))
            for name, record in self.evidence.failures.items()
            if begun.difference(
                self._cleared_parts.get(name, frozenset())
            ).intersection(record.failure.parts)
        }
        self._cleared_parts.update(newly_cleared)
        if newly_cleared:
            self.refresh()

    def is_suspected(self, part: str) -> bool:
        """Return whether a part is suspected by what is stored."""
        return any(part in suspects for suspects in self._shared_combinations)

    def refresh(self) -> None:
        """Decide anew which prompts are refused."""
        records = self.evidence.failures
        self._cleared_parts = {
            name: cleared
            for name, cleared in self._cleared_parts.items()
            if name in records
        }
        self._shared_combinations = _decide(records.values(), self.evidence)
        combinations = _decide(self._counted_records(), self.evidence)
        _log_changes(self.combinations, combinations)
        self.combinations = combinations

    def _counted_records(self) -> list[RecordedFailure]:
        """Return the records without what is known to be sound here."""
        return [
            record.without(self._cleared_parts.get(name, frozenset()))
            for name, record in self.evidence.failures.items()
        ]


def _decide(
    records: Iterable[RecordedFailure], evidence: SharedEvidence
) -> frozenset[Combination]:
    sound_revisions = {
        part: sound.revision for part, sound in evidence.sound_parts.items()
    }
    return harmful_combinations(
        active_failures(records, sound_revisions, time.time())
    )


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
