"""Tasks that write and delete status objects."""

from __future__ import annotations

import contextlib
import functools
from collections.abc import Iterator

from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._status_retention import (
    STATUS_RETENTION_PERIOD_S,
    delete_expired_statuses,
)
from cowslipstep.daemon._status_writer import StatusWriter
from cowslipstep.daemon._tasks import repeat, start_task


@contextlib.contextmanager
def maintain_status(state: DaemonState) -> Iterator[None]:
    """Write the status object periodically and once more at the end."""
    writer = StatusWriter(state)
    delete_expired = functools.partial(delete_expired_statuses, state)
    start_task('status', writer.run)
    start_task(
        'status retention', repeat(STATUS_RETENTION_PERIOD_S, delete_expired)
    )
    yield
    writer.write()
