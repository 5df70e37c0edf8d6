"""Logging as lines of JSON, each an object with flat fields."""

from __future__ import annotations

import json
import os
import sys
import traceback
from typing import TYPE_CHECKING, Any, Protocol

from loguru import logger

from cowslipstep.metrics import Event
from cowslipstep.model import CowslipstepError

if TYPE_CHECKING:
    from loguru import Message, Record, RecordException

_LEVEL_VARIABLE = 'COWSLIPSTEP_LOG_LEVEL'


class LineStream(Protocol):
    """Stream to which log lines are written."""

    def write(self, line: str, /) -> object:
        """Write one line."""

    def flush(self) -> None:
        """Write buffered lines."""


def start_logging(level: str, stream: LineStream | None = None) -> None:
    """Write log lines to a stream, by default to standard error.

    Parameters
    ----------
    level
        Lowest level that is written; the environment variable
        ``COWSLIPSTEP_LOG_LEVEL`` overrides it.
    stream
        Stream to write to.

    Raises
    ------
    ValueError
        If the level does not exist.
    """
    target = stream or sys.stderr

    def write(line: Message) -> None:  # noqa: WPS430
        target.write(format_record(line.record))
        target.flush()

    logger.remove()
    logger.add(
        write,
        level=os.environ.get(_LEVEL_VARIABLE, level).upper(),
        format='{message}',
        backtrace=False,
        diagnose=False,
    )


def format_record(entry: Record) -> str:
    """Return a record as one line of JSON.

    A traceback is logged as frames without values. The message of an exception
    is logged only for the project's own errors: others may quote what a caller
    sent.
    """
    fields: dict[str, Any] = {
        'time': entry['time'].isoformat(timespec='milliseconds'),
        'level': entry['level'].name,
        'message': entry['message'],
        **entry['extra'],
    }
    if entry['exception'] is not None:
        fields['error'] = _error_text(entry['exception'])
        fields['frames'] = _frames(entry['exception'])
    text = json.dumps(fields, default=str)
    return f'{text}\n'


def log_event(event: Event) -> None:
    """Log an event of a group, lease or drain."""
    logger.bind(
        event=event.kind,
        subject=event.subject,
        cause=event.cause,
    ).info('{} {}', event.kind, event.subject)


def _error_text(raised: RecordException) -> str:
    error = raised.value
    name = type(error).__name__
    return f'{name}: {error}' if isinstance(error, CowslipstepError) else name


def _frames(raised: RecordException) -> list[str]:
    return [
        f'{frame.name}:{frame.lineno}'
        for frame in traceback.extract_tb(raised.traceback)
    ]
