"""Requests on their way through the cells."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import define, evolve, field, frozen

from cowslipstep.model import Cell, Request, SlotRequest
from cowslipstep.replay._fleet import FleetModel
from cowslipstep.replay._outcomes import Outcome
from cowslipstep.replay._owners import AnyDispatcher, CellOwners
from cowslipstep.routing import (
    CellBatch,
    CellChoice,
    Clock,
    OwnerHistory,
    UsageTable,
)


@frozen
class Entry:
    """What an entry daemon knows of the cells."""

    number: int
    choice: CellChoice
    uses: UsageTable
    history: OwnerHistory[AnyDispatcher]

    def owner(self, cell: Cell, owners: CellOwners) -> AnyDispatcher:
        """Return the owner that it asks now."""
        present = owners.present(self.number)
        self.history.record_owner(cell, present)
        return present


@define
class Attempt:
    """A request on its way through the cells."""

    request: Request
    outcome: Outcome
    batches: Iterator[CellBatch]
    entry: Entry

    @property
    def arrival_s(self) -> float:
        """When it arrived."""
        return self.outcome.arrival.arrival_s

    @property
    def expires_s(self) -> float:
        """When its first token must have come."""
        return self.arrival_s + self.outcome.arrival.timeout_s

    def ask(
        self, cell: Cell, left_s: float, *, immediate: bool = False
    ) -> SlotRequest:
        """Return the ask to a cell, with what other cells told."""
        request = evolve(self.request, timeout_s=left_s)
        uses = self.entry.uses.of_other_cells(request.workspace, cell)
        return SlotRequest(cell, request, immediate=immediate, usages=uses)


@define
class AskedCells:
    """Owners of cells that were asked at once and have not answered."""

    open: dict[Cell, AnyDispatcher] = field(factory=dict)
    granted: bool = False


def open_entries(clock: Clock, fleet: FleetModel) -> list[Entry]:
    """Return the entry daemons of a fleet."""
    domains = fleet.failure_domains
    return [
        Entry(
            index,
            CellChoice(clock, domains[index % len(domains)]),
            UsageTable(clock),
            OwnerHistory(clock),
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
        prefix_hash=arrival.prefix_hash,
    )
