"""Log lines as JSON objects with flat fields."""

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
    """Takes log lines."""

    def write(self, line: str, /) -> object:
        """Take one line."""

    def flush(self) -> None:
        """Write what was kept back."""


def start_logging(level: str, stream: LineStream | None = None) -> None:
    """Write log lines to a stream, by default to standard error.

    Parameters
    ----------
    level
        Least level that is written; the environment variable
        ``COWSLIPSTEP_LOG_LEVEL`` goes before it.
    stream
        Receives the lines.

    Raises
    ------
    ValueError
        If there is no such level.
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

    Tracebacks tell frames but no values, and messages only of the system's
    own errors: other messages may quote what a caller sent.
    """
    fields: dict[str, Any] = {
        'time': entry['time'].isoformat(timespec='milliseconds'),
        'level': entry['level'].name,
        'message': entry['message'],
        **entry['extra'],
    }
    if entry['exception'] is not None:
        fields['error'] = _describe(entry['exception'])
        fields['frames'] = _frames(entry['exception'])
    text = json.dumps(fields, default=str)
    return f'{text}\n'


def log_event(event: Event) -> None:
    """Write a line for a change of a group, lease or configuration."""
    logger.bind(
        event=event.kind,
        subject=event.subject,
        cause=event.cause,
    ).info('{} {}', event.kind, event.subject)


def _describe(raised: RecordException) -> str:
    error = raised.value
    name = type(error).__name__
    return f'{name}: {error}' if isinstance(error, CowslipstepError) else name


def _frames(raised: RecordException) -> list[str]:
    return [
        f'{frame.name}:{frame.lineno}'
        for frame in traceback.extract_tb(raised.traceback)
    ]
