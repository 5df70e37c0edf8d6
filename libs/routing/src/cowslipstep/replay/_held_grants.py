"""Grants of running requests and their renewal at the owners of the cell."""

from __future__ import annotations

from attrs import define, field

from cowslipstep.model import Release, Renewal, SlotRequest
from cowslipstep.replay._cell_owners import AnyDispatcher
from cowslipstep.replay._pending_requests import PendingRequest
from cowslipstep.routing import Dispatcher


@define
class HeldGrant:
    """Grant of a running request.

    Attributes
    ----------
    owner
        Owner that holds the grant.
    renewing_owners
        Owners that received a renewal of the grant.
    """

    pending: PendingRequest
    slot_request: SlotRequest
    group: str
    owner: AnyDispatcher
    renewing_owners: list[AnyDispatcher] = field(factory=list)


def renew(held: HeldGrant, current: AnyDispatcher) -> None:
    """Renew a grant at its owner, the current owner and the former one."""
    former = held.pending.entry.owner_history.former_owner(
        held.slot_request.cell
    )
    recipients = {id(owner): owner for owner in (held.owner, current, former)}
    held.owner = current
    for owner in recipients.values():
        if isinstance(owner, Dispatcher):
            owner.renew(_renewal(held))
            held.renewing_owners.append(owner)


def release(held: HeldGrant) -> None:
    """Release a grant at all owners that hold or renewed it."""
    tokens = held.pending.outcome.arrival.output_tokens
    request_id = held.pending.request.request_id
    recipients = {
        id(owner): owner for owner in (held.owner, *held.renewing_owners)
    }
    for owner in recipients.values():
        owner.release(Release(held.slot_request.cell, request_id, tokens))


def _renewal(held: HeldGrant) -> Renewal:
    request = held.pending.request
    return Renewal(
        held.slot_request.cell,
        request.request_id,
        0,
        held.group,
        request.workspace,
        request.rank,
        request.prompt_tokens,
    )
