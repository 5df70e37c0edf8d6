"""Story of a request from the log lines of all daemons."""

from __future__ import annotations

import contextlib
import datetime
import json
from collections.abc import Iterable, Iterator
from typing import Any

from attrs import field, frozen

from cowslipstep.cli._explanations import Explanation

# Lines on an upstream explain a failed try if they are not much older.
_BEFORE = datetime.timedelta(seconds=5)
_AFTER = datetime.timedelta(seconds=1)
_FAILED = 'try failed'
_REFUSED = 'request not served'
# Fields that each line has, or that the story tells by itself.
_COMMON = frozenset(('time', 'level', 'message', 'daemon', 'request_id'))


@frozen(order=True)
class LogLine:
    """One line of a daemon's log."""

    time: datetime.datetime
    fields: dict[str, Any] = field(order=False)

    @property
    def message(self) -> str:
        """What happened."""
        return str(self.fields.get('message', ''))

    def tells_of(self, name: str) -> bool:
        """Whether the line is about a runner."""
        return self.fields.get('runner') == name or name in self.message

    def render(self) -> str:
        """Return the line for a reader."""
        at = self.time.strftime('%H:%M:%S.%f')
        daemon = self.fields.get('daemon', '?')
        told = ', '.join(self._own_fields())
        line = f'{at} {daemon}: {self.message}'
        return f'{line} ({told})' if told else line

    def _own_fields(self) -> Iterator[str]:
        for name, text in self.fields.items():
            if name not in _COMMON:
                yield f'{name} {text}'


def explain_from_logs(lines: Iterable[str], request_id: str) -> Explanation:
    """Tell what became of a request, in order, over all daemons.

    Lines that are no JSON objects with a time are passed over; text before
    the object, as collectors of logs write it, does not matter.

    Parameters
    ----------
    lines
        Log lines of the daemons, in any order.
    request_id
        Id of the request.
    """
    read = sorted(_read(lines))
    own = [line for line in read if line.fields.get('request_id') == request_id]
    if not own:
        return Explanation(
            request_id,
            well=False,
            summary=f'no line tells of request {request_id}; its lines may '
            'have been dropped in a flood, look for "log lines dropped"',
        )
    story = [line for line in read if line in own or _explains(line, own)]
    return Explanation(
        request_id,
        well=True,
        summary=_summary(request_id, own),
        details=tuple(line.render() for line in story),
    )


def _read(lines: Iterable[str]) -> Iterator[LogLine]:
    for text in lines:
        _, brace, rest = text.partition('{')
        with contextlib.suppress(ValueError, KeyError, TypeError):
            yield _decode(brace + rest)


def _decode(text: str) -> LogLine:
    fields = json.loads(text)
    moment = datetime.datetime.fromisoformat(fields['time'])
    return LogLine(moment, fields)


def _explains(line: LogLine, own: list[LogLine]) -> bool:
    """Whether a line tells of an upstream soon before it failed a try."""
    if 'request_id' in line.fields:
        return False
    failed = (tried for tried in own if tried.message.startswith(_FAILED))
    return any(
        line.tells_of(tried.fields['upstream'])
        for tried in failed
        if -_BEFORE <= line.time - tried.time <= _AFTER
    )


def _summary(request_id: str, own: list[LogLine]) -> str:
    reasons = [
        str(line.fields.get('reason'))
        for line in own
        if line.message.startswith(_FAILED)
    ]
    listed = ', '.join(reasons) or 'none'
    tries = f'failed tries: {listed}'
    for line in own:
        if line.message.startswith(_REFUSED):
            return f'request {request_id} {_ending(line)}; {tries}'
    return f'request {request_id} was served or its caller left; {tries}'


def _ending(line: LogLine) -> str:
    verdict = line.fields.get('verdict')
    reason = line.fields.get('reason')
    return f'{verdict}: {reason}'
