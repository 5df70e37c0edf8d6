"""Requests on their way through the cells."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import define

from cowslipstep.model import Cell, Request
from cowslipstep.replay._outcomes import Outcome
from cowslipstep.routing import CellChoice, CellTry

MODEL = 'drafting'


@define
class Attempt:
    """A request on its way through the cells."""

    request: Request
    outcome: Outcome
    tries: Iterator[CellTry]
    entry: CellChoice

    @property
    def arrival_s(self) -> float:
        """When it arrived."""
        return self.outcome.arrival.arrival_s

    @property
    def expires_s(self) -> float:
        """When its first token must have come."""
        return self.arrival_s + self.outcome.arrival.timeout_s


@define
class AskedCells:
    """Cells that were asked at once and have not answered."""

    open: set[Cell]
    granted: bool = False


def make_request(request_id: str, outcome: Outcome) -> Request:
    """Return the request of an arrival."""
    arrival = outcome.arrival
    return Request(
        request_id,
        arrival.workspace,
        arrival.rank,
        MODEL,
        arrival.prompt_tokens,
        arrival.output_tokens,
        arrival.timeout_s,
    )
