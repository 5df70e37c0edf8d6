"""Copies of the runners' entries that answer queries of peers."""

from __future__ import annotations

from collections.abc import Mapping

from cowslipstep.model.loads import RunnerDocument, RunnersCopy
from cowslipstep.serving._runner_table import RunnerTable


def copy_runners(table: RunnerTable, known_revision: int) -> RunnersCopy:
    """Return the changes after a peer's revision, or all entries.

    All entries are sent if the changes are not known that far back.
    """
    if known_revision < max(1, table.complete_from):
        return RunnersCopy(
            table.revision,
            _documents(table.documents),
            is_complete=True,
        )
    names = {
        name
        for name, revision in table.changed.items()
        if revision > known_revision
    }
    present = names & table.documents.keys()
    return RunnersCopy(
        table.revision,
        _documents({name: table.documents[name] for name in present}),
        tuple(names - present),
    )


def _documents(documents: Mapping[str, str]) -> tuple[RunnerDocument, ...]:
    return tuple(
        RunnerDocument(name, document) for name, document in documents.items()
    )
