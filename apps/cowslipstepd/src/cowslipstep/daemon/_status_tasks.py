"""Tasks that keep the status object of this daemon."""

from __future__ import annotations

import contextlib
import functools
from collections.abc import Iterator

from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._status_retention import (
    RETENTION_PERIOD_S,
    delete_expired_statuses,
)
from cowslipstep.daemon._status_writer import StatusWriter
from cowslipstep.daemon._tasks import repeat, start_task


@contextlib.contextmanager
def maintain_status(state: DaemonState) -> Iterator[None]:
    """Write the status object at a slow pace and once more at the end."""
    status = StatusWriter(state)
    retain = functools.partial(delete_expired_statuses, state)
    start_task('status', status.run)
    start_task('status retention', repeat(RETENTION_PERIOD_S, retain))
    yield
    status.write()
