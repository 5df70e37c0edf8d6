"""Conditional submission of a configuration.

If the platform's response to a write is lost, the configuration is read back
to find out whether the write took effect.
"""

from __future__ import annotations

import time

from attrs import define, frozen

from cowslipstep.cli._conflicts import conflict_error
from cowslipstep.cli._documents import CheckedDocument
from cowslipstep.cli._errors import Unreachable
from cowslipstep.cli._stored_configuration import (
    StoredConfiguration,
    read_stored_configuration,
    write_configuration,
)
from cowslipstep.model import MayHaveRun
from cowslipstep.platform import (
    PlatformClient,
    PlatformUnavailable,
    VersionConflict,
)

_READ_BACK_TIMEOUT_S = 20
_RETRY_DELAY_S = 0.2


@frozen
class SubmittedVersion:
    """A submitted document that is in force.

    Parameters
    ----------
    version
        Its version at the platform.
    changed
        Whether this submission put it in force; false if it was already.
    """

    version: int
    changed: bool = True


@define
class _PendingSubmission:
    """A submission whose outcome is not known yet.

    Parameters
    ----------
    platform
        Client of the platform.
    document
        The document to put in force.
    end_s
        Reading of the monotonic clock after which the configuration is no
        longer read back.
    """

    platform: PlatformClient
    document: CheckedDocument
    end_s: float


def submit_document(
    platform: PlatformClient,
    document: CheckedDocument,
    expected_version: int | None,
) -> SubmittedVersion:
    """Put a document in force, unless the configuration changes meanwhile.

    The write is conditional on the version that is read first. The text of
    the document includes its submission id, so that after a lost response a
    comparison with the stored text shows whether the write took effect.

    Raises
    ------
    SubmissionConflict
        If another document was submitted meanwhile, or the version in force
        is not ``expected_version``.
    Unreachable
        If the platform does not answer.
    """
    stored = read_stored_configuration(platform)
    if stored.text == document.text:
        return SubmittedVersion(stored.version, changed=False)
    if expected_version not in {None, stored.version}:
        raise conflict_error(stored, document, f'expected {expected_version}')
    end_s = time.monotonic() + _READ_BACK_TIMEOUT_S
    return _write(_PendingSubmission(platform, document, end_s), stored)


def _write(
    pending: _PendingSubmission, known: StoredConfiguration
) -> SubmittedVersion:
    """Repeat the write until its outcome is known.

    It is repeated only while the version in force is still the known one.
    """
    while True:
        version = _try_write(pending, known.version)
        if version is not None:
            return SubmittedVersion(version)
        stored = _read_back(pending)
        if stored.version != known.version:
            return _outcome_after_conflict(pending, stored)


def _try_write(pending: _PendingSubmission, known_version: int) -> int | None:
    """Write once; return the new version.

    ``None`` means that the configuration has to be read back, since it has
    another version or the write may have taken effect.
    """
    text = pending.document.text
    try:
        return write_configuration(pending.platform, known_version, text)
    except VersionConflict:
        return None
    except PlatformUnavailable as error:
        match error.verdict:
            case MayHaveRun():
                return None
        raise


def _outcome_after_conflict(
    pending: _PendingSubmission, stored: StoredConfiguration
) -> SubmittedVersion:
    if stored.text == pending.document.text:
        return SubmittedVersion(stored.version)
    raise conflict_error(
        stored, pending.document, 'another submission came first'
    )


def _read_back(pending: _PendingSubmission) -> StoredConfiguration:
    while time.monotonic() < pending.end_s:
        try:
            return read_stored_configuration(pending.platform)
        except PlatformUnavailable:
            time.sleep(_RETRY_DELAY_S)
    raise Unreachable(
        'the platform does not answer, so it is unknown whether the '
        'submission took effect; submit the same file again to find out',
    )
