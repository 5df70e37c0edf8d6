"""Evidence on harmful prompts, as the daemons share it at the platform."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable

from attrs import asdict, frozen
from loguru import logger

from cowslipstep.platform import (
    KindChanges,
    ObjectKey,
    ObjectPage,
    StoredObject,
)
from cowslipstep.routing.prompts import PromptFailure, RecordedFailure

EVIDENCE_KIND = 'promptevidence'
_DECODE_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    OverflowError,
    RecursionError,
)


@frozen
class SoundPart:
    """A part of prompts with which a response has begun.

    Parameters
    ----------
    part
        Id of the part.
    recorded_at_unix_s
        When that was recorded.
    revision
        Revision of the store at which it was written.
    """

    part: str
    recorded_at_unix_s: float
    revision: int = 0

    @property
    def name(self) -> str:
        """Name of its object: one for each part, whatever its characters."""
        digest = hashlib.sha256(self.part.encode()).hexdigest()
        return f'sound-{digest}'


Evidence = RecordedFailure | SoundPart


def evidence_key(evidence: Evidence) -> ObjectKey:
    """Return the key of an object."""
    return ObjectKey(EVIDENCE_KIND, evidence.name)


def encode_evidence(evidence: Evidence) -> str:
    """Encode an object as JSON."""
    match evidence:
        case RecordedFailure(failure=failure):
            document = asdict(failure)
        case SoundPart(part=part):
            document = {'sound': part}
    document['recordedAt'] = evidence.recorded_at_unix_s
    return json.dumps(document)


def decode_evidence(stored: StoredObject) -> Evidence:
    """Decode an object.

    Raises
    ------
    KeyError
        If a field is missing.
    TypeError, ValueError
        If a field has another type, or the text is not JSON.
    """
    document = json.loads(stored.body)
    recorded_at_s = float(document['recordedAt'])
    sound_part = document.get('sound')
    if sound_part is not None:
        return SoundPart(str(sound_part), recorded_at_s, stored.version)
    parts = tuple(str(part) for part in document['parts'])
    return RecordedFailure(
        stored.key.name,
        PromptFailure(
            str(document['request']),
            parts,
            # Daemons of an earlier version do not name the upstream.
            str(document.get('upstream', '')),
        ),
        recorded_at_s,
        stored.version,
    )


class SharedEvidence:
    """Holds the evidence of all daemons, as watched at the platform.

    Parameters
    ----------
    on_change
        Called after changes.
    """

    def __init__(self, on_change: Callable[[], None]) -> None:
        self.failures: dict[str, RecordedFailure] = {}
        self.sound_parts: dict[str, SoundPart] = {}
        self._on_change = on_change

    def put(self, evidence: Evidence) -> None:
        """Add or replace evidence."""
        match evidence:
            case RecordedFailure():
                self.failures[evidence.name] = evidence
            case SoundPart():
                self.sound_parts[evidence.part] = evidence

    def remove(self, name: str) -> None:
        """Remove an object."""
        self.failures.pop(name, None)
        self.sound_parts = {
            part: sound
            for part, sound in self.sound_parts.items()
            if sound.name != name
        }

    def replace(self, page: ObjectPage) -> None:
        """Replace all evidence that is stored."""
        self.failures = {
            name: record
            for name, record in self.failures.items()
            if not record.revision
        }
        self.sound_parts.clear()
        for stored in page.stored_objects:
            self._read(stored)
        self._on_change()

    def apply(self, changes: KindChanges) -> None:
        """Apply changes of objects."""
        for change in changes.changes:
            if change.removed:
                self.remove(change.stored_object.key.name)
            else:
                self._read(change.stored_object)
        self._on_change()

    def on_outage(self) -> None:
        """Keep the evidence during an outage of the platform."""

    def _read(self, stored: StoredObject) -> None:
        try:
            self.put(decode_evidence(stored))
        except _DECODE_ERRORS as error:
            logger.warning('invalid evidence {} ignored: {}', stored.key, error)


def counted_evidence(
    evidence: SharedEvidence,
) -> tuple[tuple[RecordedFailure, ...], dict[str, int]]:
    """Return all failures, and the revisions at which parts were sound."""
    revisions = {
        part: sound.revision for part, sound in evidence.sound_parts.items()
    }
    return tuple(evidence.failures.values()), revisions
