"""Conditional submission, exact also when an answer is lost."""

from __future__ import annotations

import time

from attrs import define, frozen

from cowslipstep.cli._conflicts import conflict
from cowslipstep.cli._documents import CheckedDocument
from cowslipstep.cli._exits import Unreachable
from cowslipstep.cli._store import StoredText, read_stored, write_text
from cowslipstep.model import MayHaveRun
from cowslipstep.platform import (
    PlatformClient,
    PlatformUnavailable,
    VersionConflict,
)

_RESOLVE_TIMEOUT_S = 20
_RETRY_DELAY_S = 0.2


@frozen
class Submitted:
    """A document that is in force.

    Parameters
    ----------
    version
        Its version at the platform.
    changed
        Whether this submission put it in force.
    """

    version: int
    changed: bool = True


@define
class _Attempt:
    platform: PlatformClient
    document: CheckedDocument
    end_s: float


def submit_document(
    platform: PlatformClient,
    document: CheckedDocument,
    expected_version: int | None,
) -> Submitted:
    """Put a document in force, on condition of the version read.

    The document's text, with its submission id, tells after a lost answer
    whether it has taken effect.

    Raises
    ------
    Conflict
        If another document was submitted meanwhile.
    Unreachable
        If the platform does not answer.
    """
    stored = read_stored(platform)
    if stored.text == document.text:
        return Submitted(stored.version, changed=False)
    if expected_version not in {None, stored.version}:
        raise conflict(stored, document, f'expected {expected_version}')
    end_s = time.monotonic() + _RESOLVE_TIMEOUT_S
    return _write(_Attempt(platform, document, end_s), stored)


def _write(attempt: _Attempt, known: StoredText) -> Submitted:
    """Write until it is known whether the document is in force."""
    while True:
        version = _try_write(attempt, known.version)
        if version is not None:
            return Submitted(version)
        stored = _read_back(attempt)
        if stored.version != known.version:
            return _settle(attempt, stored)


def _try_write(attempt: _Attempt, known_version: int) -> int | None:
    """Return the new version, or ``None`` if it has to be read back."""
    text = attempt.document.text
    try:
        return write_text(attempt.platform, known_version, text)
    except VersionConflict:
        return None
    except PlatformUnavailable as error:
        match error.verdict:
            case MayHaveRun():
                return None
        raise


def _settle(attempt: _Attempt, stored: StoredText) -> Submitted:
    if stored.text == attempt.document.text:
        return Submitted(stored.version)
    raise conflict(stored, attempt.document, 'another submission came first')


def _read_back(attempt: _Attempt) -> StoredText:
    while time.monotonic() < attempt.end_s:
        try:
            return read_stored(attempt.platform)
        except PlatformUnavailable:
            time.sleep(_RETRY_DELAY_S)
    raise Unreachable(
        'the platform does not answer, so that it is not known whether the '
        'submission took effect; submit the same file again to find out',
    )
