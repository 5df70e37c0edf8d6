"""Outcomes of the requests of a replayed trace."""

from __future__ import annotations

import json

from attrs import asdict, define

from cowslipstep.replay._trace import Arrival

_PRINTED_DECIMALS = 4
_ENGINE_WAIT_TOLERANCE_S = 0.000001


@define
class Outcome:
    """Outcome of one request.

    Attributes
    ----------
    code
        ``completed``, ``open``, or the reason for which it was not run.
    granted_s
        Time at which it was granted a slot; zero without dispatchers.
    hit
        Whether the prefix of its prompt was cached.
    started_s
        Time at which an engine started it.
    first_token_s
        Time of its first token.
    ended_s
        Time of its last token, or at which it was refused or timed out.
    """

    arrival: Arrival
    code: str = 'open'
    granted_s: float = 0
    hit: bool = False
    started_s: float = 0
    first_token_s: float = 0
    ended_s: float = 0

    @property
    def completed(self) -> bool:
        """Whether an engine ran the request to its end."""
        return self.code == 'completed'

    @property
    def wait_s(self) -> float:
        """Seconds from arrival to the first token of a completed request."""
        return self.first_token_s - self.arrival.arrival_s

    @property
    def engine_wait_s(self) -> float:
        """Seconds between the grant of a slot and the start on an engine."""
        return self.started_s - self.granted_s

    @property
    def over_admitted(self) -> bool:
        """Whether the request was granted a slot that was not free."""
        return self.completed and self.engine_wait_s > _ENGINE_WAIT_TOLERANCE_S

    @property
    def in_time(self) -> bool:
        """Whether the first token came within the timeout."""
        return self.completed and self.wait_s <= self.arrival.timeout_s

    @property
    def tokens(self) -> int:
        """Tokens of the prompt and the output together."""
        return self.arrival.prompt_tokens + self.arrival.output_tokens


def write_outcome(outcome: Outcome) -> str:
    """Return an outcome as a JSON line."""
    fields = asdict(outcome, recurse=False)
    arrival = asdict(fields.pop('arrival'))
    rounded = {
        name: round(entry, _PRINTED_DECIMALS)
        if isinstance(entry, float)
        else entry
        for name, entry in {**arrival, **fields}.items()
    }
    return json.dumps(rounded)
