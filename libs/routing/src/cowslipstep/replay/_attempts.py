"""Requests on their way through the cells."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import define, evolve, frozen

from cowslipstep.model import Ask, Cell, Request
from cowslipstep.replay._fleet import FleetModel
from cowslipstep.replay._outcomes import Outcome
from cowslipstep.routing import CellChoice, CellTry, Clock, SeenUses


@frozen
class Entry:
    """What an entry daemon knows of the cells."""

    choice: CellChoice
    uses: SeenUses


@define
class Attempt:
    """A request on its way through the cells."""

    request: Request
    outcome: Outcome
    tries: Iterator[CellTry]
    entry: Entry

    @property
    def arrival_s(self) -> float:
        """When it arrived."""
        return self.outcome.arrival.arrival_s

    @property
    def expires_s(self) -> float:
        """When its first token must have come."""
        return self.arrival_s + self.outcome.arrival.timeout_s

    def ask(self, cell: Cell, left_s: float, *, immediate: bool) -> Ask:
        """Return the ask to a cell, with what other cells told."""
        request = evolve(self.request, timeout_s=left_s)
        uses = self.entry.uses.known(request.workspace, cell)
        return Ask(cell, request, immediate=immediate, uses=uses)


@define
class AskedCells:
    """Cells that were asked at once and have not answered."""

    open: set[Cell]
    granted: bool = False


def open_entries(clock: Clock, fleet: FleetModel) -> list[Entry]:
    """Return the entry daemons of a fleet."""
    domains = fleet.failure_domains
    return [
        Entry(
            CellChoice(clock, domains[index % len(domains)]),
            SeenUses(clock),
        )
        for index in range(fleet.daemons)
    ]


def make_request(request_id: str, outcome: Outcome) -> Request:
    """Return the request of an arrival."""
    arrival = outcome.arrival
    return Request(
        request_id,
        arrival.workspace,
        arrival.rank,
        arrival.model,
        arrival.prompt_tokens,
        arrival.output_tokens,
        arrival.timeout_s,
    )
