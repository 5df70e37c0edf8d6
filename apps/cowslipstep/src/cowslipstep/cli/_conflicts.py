"""The error for a submission that conflicts with the version in force."""

from __future__ import annotations

from cowslipstep.cli._documents import CheckedDocument
from cowslipstep.cli._errors import SubmissionConflict
from cowslipstep.cli._stored_configuration import StoredConfiguration
from cowslipstep.operator import list_changes


def conflict_error(
    stored: StoredConfiguration,
    document: CheckedDocument,
    reason: str,
) -> SubmissionConflict:
    """Return the error for a rejected submission.

    Its message lists the differences between the configuration in force and
    the rejected document.

    Parameters
    ----------
    stored
        The configuration in force.
    document
        The document that was not submitted.
    reason
        Why it was not submitted.
    """
    changes = list_changes(stored.configuration, document.configuration)
    lines = [
        f'not submitted: version {stored.version} is in force ({reason}); '
        'your document differs from it by:',
        *[f'  {change}' for change in changes],
    ]
    return SubmissionConflict('\n'.join(lines))
