"""What came of each request of a replayed trace."""

from __future__ import annotations

import json

from attrs import asdict, define

from cowslipstep.replay._trace import Arrival

_DECIMALS = 4
_NOTICEABLE_S = 0.000001


@define
class Outcome:
    """Outcome of one request.

    Attributes
    ----------
    code
        ``completed``, or why it was not run.
    granted_s
        When it was granted a slot; zero without dispatchers.
    started_s
        When an engine began with it.
    first_token_s
        When its first token came.
    ended_s
        When its last token came, or when it was refused.
    """

    arrival: Arrival
    code: str = 'open'
    granted_s: float = 0
    started_s: float = 0
    first_token_s: float = 0
    ended_s: float = 0

    @property
    def ran(self) -> bool:
        """Whether it was given a slot and completed."""
        return self.code == 'completed'

    @property
    def wait_s(self) -> float:
        """Seconds to the first token."""
        return self.first_token_s - self.arrival.arrival_s

    @property
    def engine_wait_s(self) -> float:
        """Seconds that it waited for a slot that it had been granted."""
        return self.started_s - self.granted_s

    @property
    def over_admitted(self) -> bool:
        """Whether it was granted a slot that was not free."""
        return self.ran and self.engine_wait_s > _NOTICEABLE_S

    @property
    def in_time(self) -> bool:
        """Whether its first token came within its timeout."""
        return self.ran and self.wait_s <= self.arrival.timeout_s

    @property
    def tokens(self) -> int:
        """Prompt and answer together."""
        return self.arrival.prompt_tokens + self.arrival.output_tokens


def write_outcome(outcome: Outcome) -> str:
    """Return an outcome as a JSON line."""
    fields = asdict(outcome, recurse=False)
    arrival = asdict(fields.pop('arrival'))
    rounded = {
        name: round(entry, _DECIMALS) if isinstance(entry, float) else entry
        for name, entry in {**arrival, **fields}.items()
    }
    return json.dumps(rounded)
