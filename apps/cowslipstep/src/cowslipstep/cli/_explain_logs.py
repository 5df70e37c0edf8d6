"""History of a request from the log lines of all daemons."""

from __future__ import annotations

import contextlib
import datetime
import json
from collections.abc import Iterable, Iterator
from typing import Any

from attrs import field, frozen

from cowslipstep.cli._explanations import Explanation

# A log line about an upstream may explain a failed attempt at that upstream
# if it is older by at most the lead, or newer by at most the lag.
_MAX_CAUSE_LEAD = datetime.timedelta(seconds=5)
_MAX_CAUSE_LAG = datetime.timedelta(seconds=1)
_ATTEMPT_FAILED = 'try failed'
_NOT_SERVED = 'request not served'
# Fields that each line has, or that the rendered line shows already.
_OMITTED_FIELDS = frozenset(
    ('time', 'level', 'message', 'daemon', 'request_id')
)


@frozen(order=True)
class LogLine:
    """One line of a daemon's log."""

    time: datetime.datetime
    fields: dict[str, Any] = field(order=False)

    @property
    def message(self) -> str:
        """Message of the line, without its fields."""
        return str(self.fields.get('message', ''))

    def mentions(self, name: str) -> bool:
        """Whether the line names a runner, in its field or its message."""
        return self.fields.get('runner') == name or name in self.message

    def render(self) -> str:
        """Return the line as text: time, daemon, message, other fields."""
        at = self.time.strftime('%H:%M:%S.%f')
        daemon = self.fields.get('daemon', '?')
        listed = ', '.join(self._field_texts())
        line = f'{at} {daemon}: {self.message}'
        return f'{line} ({listed})' if listed else line

    def _field_texts(self) -> Iterator[str]:
        for name, text in self.fields.items():
            if name not in _OMITTED_FIELDS:
                yield f'{name} {text}'


def explain_from_logs(lines: Iterable[str], request_id: str) -> Explanation:
    """Return what happened to a request, in order of time, at all daemons.

    Lines without a JSON object that has a time are skipped; text before the
    object, such as the prefix of a log collector, is ignored.

    Parameters
    ----------
    lines
        Log lines of the daemons, in any order.
    request_id
        Id of the request.
    """
    parsed = sorted(_read(lines))
    own_lines = [
        line for line in parsed if line.fields.get('request_id') == request_id
    ]
    if not own_lines:
        return Explanation(
            request_id,
            well=False,
            summary=f'no log line has request id {request_id}; its lines may '
            'have been dropped at a high rate, search for "log lines dropped"',
        )
    history = [
        line
        for line in parsed
        if line in own_lines or _may_explain(line, own_lines)
    ]
    return Explanation(
        request_id,
        well=True,
        summary=_summary(request_id, own_lines),
        details=tuple(line.render() for line in history),
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


def _may_explain(line: LogLine, own_lines: list[LogLine]) -> bool:
    """Return whether a line may be about the cause of a failed attempt.

    It is if it names the upstream of the attempt at about the time of failure.

    Lines of requests are excluded; only a daemon's own events, such as the
    loss of a runner, can be the cause.
    """
    if 'request_id' in line.fields:
        return False
    failures = (
        failure
        for failure in own_lines
        if failure.message.startswith(_ATTEMPT_FAILED)
    )
    return any(
        line.mentions(failure.fields['upstream'])
        for failure in failures
        if -_MAX_CAUSE_LEAD <= line.time - failure.time <= _MAX_CAUSE_LAG
    )


def _summary(request_id: str, own_lines: list[LogLine]) -> str:
    reasons = [
        str(line.fields.get('reason'))
        for line in own_lines
        if line.message.startswith(_ATTEMPT_FAILED)
    ]
    listed = ', '.join(reasons) or 'none'
    attempts = f'failed attempts: {listed}'
    for line in own_lines:
        if line.message.startswith(_NOT_SERVED):
            return f'request {request_id} {_outcome_text(line)}; {attempts}'
    return f'request {request_id} was served or its caller left; {attempts}'


def _outcome_text(line: LogLine) -> str:
    verdict = line.fields.get('verdict')
    reason = line.fields.get('reason')
    return f'{verdict}: {reason}'
