"""What a program does around each call to the platform."""

from __future__ import annotations

import contextlib
from collections.abc import Callable

from attrs import frozen

from cowslipstep.platform._calls import CallRecord

CallObserver = Callable[[CallRecord], None]
TimeLimit = Callable[[float], contextlib.AbstractContextManager[object]]


def ignore_call(_record: CallRecord) -> None:
    """Ignore the record of a call."""


def no_time_limit(_limit_s: float) -> contextlib.AbstractContextManager[object]:
    """Limit nothing but the wait for each part of a response."""
    return contextlib.nullcontext()


@frozen
class CallHooks:
    """What a program does around each call.

    Parameters
    ----------
    on_call
        Called with a record of each call, for metrics.
    time_limit
        Returns a context that raises ``TimeoutError`` after that many seconds.
    """

    on_call: CallObserver = ignore_call
    time_limit: TimeLimit = no_time_limit
