"""The part of a daemon's state that attempts of requests need."""

from __future__ import annotations

import contextlib
import time
import types
from typing import Any

from cowslipstep.delivery import RetryBudget
from cowslipstep.fleet import ResponseHead
from cowslipstep.routing import UpstreamBackoffs, UpstreamLoads
from cowslipstep.serving._attempt_records import AttemptRecords
from cowslipstep.serving._attempts import Attempts
from cowslipstep.serving._metrics import RequestMetrics
from cowslipstep.serving._substitute_choice import SubstituteChoice
from cowslipstep.serving._suspicions import Suspicions


def attempts_of(state: Any, choice: Any) -> Attempts:
    """Return what begins attempts at the upstreams of a choice."""
    records = AttemptRecords(state, RequestMetrics())
    return Attempts(state, records, SubstituteChoice(state, choice))


def sender_state() -> types.SimpleNamespace:
    """Return the state of a daemon that has sent nothing yet."""
    dialect = types.SimpleNamespace(
        headers=lambda _sent: {},
        response_head=lambda *_response: ResponseHead(200, ()),
    )
    return types.SimpleNamespace(
        dialects=types.SimpleNamespace(requests=dialect),
        backoffs=UpstreamBackoffs(time.monotonic),
        loads=UpstreamLoads(time.monotonic),
        harmful_prompts=types.SimpleNamespace(
            clear=bool, refusal=lambda _request: None
        ),
        suspicions=Suspicions(time.monotonic),
        retry_budget=lambda _service: RetryBudget(saved=5),
        configuration=types.SimpleNamespace(table=None, version=0),
        runner_table=types.SimpleNamespace(revision=0),
        evacuations=types.SimpleNamespace(raise_if_evacuated=bool),
        cold_runners=types.SimpleNamespace(writing=contextlib.nullcontext),
    )
