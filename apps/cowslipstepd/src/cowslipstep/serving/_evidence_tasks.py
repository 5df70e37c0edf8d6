"""Tasks that share evidence on harmful prompts, and remove what has expired."""

from __future__ import annotations

import random
import time
from functools import partial

import eventlet
from attrs import evolve
from loguru import logger

from cowslipstep.daemon._tasks import repeat
from cowslipstep.model import CowslipstepError
from cowslipstep.platform import (
    PlatformClient,
    PlatformUnavailable,
    VersionConflict,
)
from cowslipstep.routing.prompts import EVIDENCE_LIFETIME_S
from cowslipstep.serving._harmful_prompts import HarmfulPrompts
from cowslipstep.serving._kind_watch import KindWatch, WatchSchedule
from cowslipstep.serving._prompt_evidence import (
    EVIDENCE_KIND,
    Evidence,
    encode_evidence,
    evidence_key,
)
from cowslipstep.serving._state import ServingState
from cowslipstep.serving._watch_reliance import WatchReliance

# Callers send a refused or failed request to other daemons within a second.
_WATCH_INTERVAL_S = 0.1
_RETRY_DELAY_S = 0.5
# Time between two writes, so that the limits of calls hold when many fail.
_WRITE_INTERVAL_S = 0.2
# Daemons that see at the same time that a part is sound write in turn.
_MAX_SOUND_DELAY_S = 0.2
_EXPIRY_PERIOD_S = 60


def start_evidence_tasks(state: ServingState) -> None:
    """Start the tasks that read, write and remove evidence."""
    reliance = WatchReliance(state)
    watch = KindWatch(
        state.platform,
        EVIDENCE_KIND,
        state.harmful_prompts.evidence,
        WatchSchedule(
            lambda: _WATCH_INTERVAL_S,
            is_relayed=bool,  # never
            timeout_s=reliance.evidence_timeout_s,
            doubt=reliance.doubt,
        ),
    )
    writer = EvidenceWriter(state.platform, state.harmful_prompts)
    # Evidence of this daemon counts without these tasks, too.
    start = partial(state.process.tasks.start, essential=False)
    start(f'watch of {watch.kind}', watch.run)
    start(
        'evidence of failures', repeat(_WRITE_INTERVAL_S, writer.write_failure)
    )
    start('evidence of sound parts', repeat(0, writer.write_sound_part))
    start(
        'expiry of evidence',
        repeat(_EXPIRY_PERIOD_S, lambda: _expire(state)),
    )


class EvidenceWriter:
    """Writes what this daemon has recorded.

    Parameters
    ----------
    platform
        Client of the platform.
    prompts
        Holds the evidence.
    """

    def __init__(
        self, platform: PlatformClient, prompts: HarmfulPrompts
    ) -> None:
        self._platform = platform
        self._prompts = prompts

    def write_failure(self) -> None:
        """Wait for the next failure and write it."""
        record = self._prompts.failures_to_write.get()
        revision = self._write(record, record.revision)
        failures = self._prompts.evidence.failures
        if revision and record.name in failures:
            failures[record.name] = evolve(record, revision=revision)

    def write_sound_part(self) -> None:
        """Wait for the next sound part; write it unless another daemon has."""
        sound = self._prompts.sound_parts_to_write.get()
        if not self._prompts.is_suspected(sound.part):
            return
        eventlet.sleep(random.uniform(0, _MAX_SOUND_DELAY_S))
        if not self._prompts.is_suspected(sound.part):
            return
        known = self._prompts.evidence.sound_parts.get(sound.part, sound)
        revision = self._write(sound, known.revision)
        if revision:
            self._prompts.evidence.put(evolve(sound, revision=revision))
            self._prompts.refresh()

    def _write(self, evidence: Evidence, version: int) -> int:
        """Return the revision; zero if another change came first."""
        while True:
            try:
                return self._write_once(evidence, version)
            except VersionConflict:
                return 0
            except PlatformUnavailable as error:
                logger.info('evidence not written yet, retrying: {}', error)
            eventlet.sleep(_RETRY_DELAY_S)

    def _write_once(self, evidence: Evidence, version: int) -> int:
        key = evidence_key(evidence)
        body = encode_evidence(evidence)
        if version:
            return self._platform.update(key, version, body)
        return self._platform.create(key, body)


def _expire(state: ServingState) -> None:
    """Stop counting old evidence; the controller removes it."""
    prompts = state.harmful_prompts
    oldest_s = time.time() - EVIDENCE_LIFETIME_S
    known: tuple[Evidence, ...] = (
        *prompts.evidence.failures.values(),
        *prompts.evidence.sound_parts.values(),
    )
    for evidence in known:
        if evidence.recorded_at_unix_s < oldest_s:
            _remove(state, evidence)
    prompts.refresh()


def _remove(state: ServingState, expired: Evidence) -> None:
    if not expired.revision:
        state.harmful_prompts.evidence.remove(expired.name)
    elif state.is_controller:
        try:
            state.platform.delete(evidence_key(expired), expired.revision)
        except CowslipstepError as error:
            logger.info('expired evidence stays until later: {}', error)
