"""Errors that one task raises in another one while that waits."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from typing import Any

from attrs import define
from eventlet.greenthread import getcurrent, kill


@define
class Interruption:
    """Ends the wait of a task when another task has a reason.

    The error is raised only where the task waits within ``allowed``, so that
    it cannot end anything else that the task does.
    """

    _error: Exception | None = None
    _waiting_task: Any = None

    @contextlib.contextmanager
    def allowed(self) -> Iterator[None]:
        """Let the current task be interrupted while it waits in the block.

        Raises
        ------
        Exception
            The error of the task that interrupts, before the block or in it.
        """
        if self._error is not None:
            raise self._error
        self._waiting_task = getcurrent()
        try:
            yield
        finally:
            self._waiting_task = None

    def interrupt(self, error: Exception) -> None:
        """Raise an error in the task that waits, or where it waits next."""
        if self._waiting_task is None:
            self._error = error
            return
        kill(self._waiting_task, error)

    def cancel(self) -> None:
        """Raise no error that was not raised yet."""
        self._error = None
