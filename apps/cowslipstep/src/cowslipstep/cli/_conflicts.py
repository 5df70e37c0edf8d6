"""Lost races between operators, with what differs."""

from __future__ import annotations

from cowslipstep.cli._documents import CheckedDocument
from cowslipstep.cli._exits import Conflict
from cowslipstep.cli._store import StoredText
from cowslipstep.operator import list_changes


def conflict(
    stored: StoredText,
    document: CheckedDocument,
    reason: str,
) -> Conflict:
    """Return the error of a lost race, with what differs from the winner."""
    changes = list_changes(stored.configuration, document.configuration)
    lines = [
        f'not submitted: version {stored.version} is in force ({reason}); '
        'your document differs from it by:',
        *[f'  {change}' for change in changes],
    ]
    return Conflict('\n'.join(lines))
