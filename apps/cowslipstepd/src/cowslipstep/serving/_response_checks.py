"""Checks of the head of a response before its body is passed on."""

from __future__ import annotations

from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.fleet import ResponseHead
from cowslipstep.model import MayHaveRun, NotRun, Reason
from cowslipstep.serving._delivery_state import DeliveryState
from cowslipstep.serving._upstream_choice import ChosenUpstream

_SERVER_ERROR = 500


def raise_for_head(head: ResponseHead) -> None:
    if head.for_other_request:
        raise UpstreamFailure(
            MayHaveRun(Reason.upstream_cut),
            'response belongs to another request',
        )
    if head.misdirected:
        raise UpstreamFailure(
            NotRun(Reason.upstream_moved),
            'upstream moved: another one responded, or it leads no group now',
        )
    if head.refusal is not None:
        raise UpstreamFailure(
            head.refusal,
            f'upstream responded with status {head.status}',
        )


def raise_if_encoded(content_coding: str) -> None:
    """Raise if a body has a coding; requests accept none."""
    if content_coding:
        raise UpstreamFailure(
            MayHaveRun(Reason.upstream_cut),
            f'expected a body without a coding, got {content_coding!r}',
        )


def raise_unless_continued(
    delivery: DeliveryState, chosen: ChosenUpstream, head: ResponseHead
) -> None:
    """Raise if a response does not resume or replace another one."""
    if chosen.is_substitute and head.status >= _SERVER_ERROR:
        # The response of the silent upstream may still come.
        raise UpstreamFailure(
            MayHaveRun(Reason.upstream_failed),
            f'substitute responded with status {head.status}',
        )
    if delivery.head is None or head.continues(delivery.head):
        return
    raise UpstreamFailure(
        MayHaveRun(Reason.upstream_failed),
        f'stream not resumed: status {head.status}, {head.media_type!r}',
    )
