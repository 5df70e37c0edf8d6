"""Grants in use, renewed at the owners that entry daemons know."""

from __future__ import annotations

from attrs import define, field

from cowslipstep.model import Release, Renewal, SlotRequest
from cowslipstep.replay._attempts import Attempt
from cowslipstep.replay._owners import AnyDispatcher
from cowslipstep.routing import Dispatcher


@define
class HeldGrant:
    """A grant in use and the owners that know of it."""

    attempt: Attempt
    ask: SlotRequest
    group: str
    owner: AnyDispatcher
    told: list[AnyDispatcher] = field(factory=list)


def renew(held: HeldGrant, present: AnyDispatcher) -> None:
    """Renew a grant at its owner, at the present one and the one before."""
    former = held.attempt.entry.history.former_owner(held.ask.cell)
    told = {id(owner): owner for owner in (held.owner, present, former)}
    held.owner = present
    for owner in told.values():
        if isinstance(owner, Dispatcher):
            owner.renew(_renewal(held))
            held.told.append(owner)


def release(held: HeldGrant) -> None:
    """Tell all owners that know of a grant that it has ended."""
    tokens = held.attempt.outcome.arrival.output_tokens
    request_id = held.attempt.request.request_id
    told = {id(owner): owner for owner in (held.owner, *held.told)}
    for owner in told.values():
        owner.release(Release(held.ask.cell, request_id, tokens))


def _renewal(held: HeldGrant) -> Renewal:
    request = held.attempt.request
    return Renewal(
        held.ask.cell,
        request.request_id,
        0,
        held.group,
        request.workspace,
        request.rank,
        request.prompt_tokens,
    )
