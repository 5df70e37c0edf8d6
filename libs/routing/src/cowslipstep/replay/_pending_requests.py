"""Requests for which an entry daemon requests slots from the cells."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import define, evolve, field, frozen

from cowslipstep.model import Cell, Request, SlotRequest
from cowslipstep.replay._cell_owners import AnyDispatcher, CellOwners
from cowslipstep.replay._fleet_model import FleetModel
from cowslipstep.replay._outcomes import Outcome
from cowslipstep.routing import (
    CellBatch,
    CellChoice,
    Clock,
    OwnerHistory,
    UsageTable,
)


@frozen
class EntryDaemon:
    """State that an entry daemon holds about the cells."""

    number: int
    choice: CellChoice
    usage_table: UsageTable
    owner_history: OwnerHistory[AnyDispatcher]

    def current_owner(self, cell: Cell, owners: CellOwners) -> AnyDispatcher:
        """Return the owner that this daemon sends slot requests to now."""
        current = owners.current_owner(self.number)
        self.owner_history.record_owner(cell, current)
        return current


@define
class PendingRequest:
    """A request and the batches of cells that did not receive it yet."""

    request: Request
    outcome: Outcome
    batches: Iterator[CellBatch]
    entry: EntryDaemon

    @property
    def arrival_s(self) -> float:
        """Time at which the request arrived."""
        return self.outcome.arrival.arrival_s

    @property
    def expires_s(self) -> float:
        """Time by which the first token is due."""
        return self.arrival_s + self.outcome.arrival.timeout_s

    def make_slot_request(
        self, cell: Cell, remaining_s: float, *, immediate: bool = False
    ) -> SlotRequest:
        """Return the slot request to a cell, with the usage of other cells."""
        request = evolve(self.request, timeout_s=remaining_s)
        usages = self.entry.usage_table.of_other_cells(request.workspace, cell)
        return SlotRequest(cell, request, immediate=immediate, usages=usages)


@define
class SlotRequestBatch:
    """Slot requests that were sent at the same time.

    Attributes
    ----------
    unanswered
        Owner of each cell that has not replied yet.
    granted
        Whether a cell has granted a slot.
    """

    unanswered: dict[Cell, AnyDispatcher] = field(factory=dict)
    granted: bool = False


def make_entry_daemons(clock: Clock, fleet: FleetModel) -> list[EntryDaemon]:
    """Return the entry daemons of a fleet."""
    domains = fleet.failure_domains
    return [
        EntryDaemon(
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
