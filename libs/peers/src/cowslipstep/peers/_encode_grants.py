"""Encoding of slot requests, grants, refusals, renewals and releases."""

from __future__ import annotations

from typing import Any

from cowslipstep.model import (
    Grant,
    GrantMessage,
    Refusal,
    Release,
    Renewal,
    SlotRequest,
)
from cowslipstep.peers._encode_cells import (
    write_cell,
    write_reply_usage,
    write_usages,
)
from cowslipstep.peers._encode_request import write_request
from cowslipstep.peers._units import seconds_to_ms


def write_grant_message(frame: Any, message: GrantMessage) -> None:
    """Write the union field of the frame for this type of message."""
    match message:
        case SlotRequest():
            _write_slot_request(frame.init('ask'), message)
        case Grant():
            _write_grant(frame.init('grant'), message)
        case Refusal():
            _write_refusal(frame.init('refusal'), message)
        case Renewal():
            _write_renewal(frame.init('renewal'), message)
        case Release(failed=failed):
            release = frame.init('release')
            _write_progress(release, message)
            release.failed = failed


def _write_slot_request(builder: Any, message: SlotRequest) -> None:
    write_cell(builder.init('cell'), message.cell)
    write_request(builder.init('request'), message.request)
    avoided = builder.init('avoid', len(message.avoided_groups))
    for index, group in enumerate(message.avoided_groups):
        avoided[index] = group
    builder.immediate = message.immediate
    write_usages(builder.init('uses', len(message.usages)), message.usages)


def _write_grant(builder: Any, grant: Grant) -> None:
    builder.requestId = grant.request_id
    builder.group = grant.group
    builder.ip = grant.address.ip
    builder.port = grant.address.port
    builder.validMs = seconds_to_ms(grant.valid_s)
    builder.startableMs = seconds_to_ms(grant.startable_s)
    write_reply_usage(builder, grant)


def _write_refusal(builder: Any, refusal: Refusal) -> None:
    builder.requestId = refusal.request_id
    builder.reason = refusal.verdict.reason.value
    builder.retryAfterMs = seconds_to_ms(refusal.verdict.retry_after_s)
    write_reply_usage(builder, refusal)


def _write_renewal(builder: Any, renewal: Renewal) -> None:
    _write_progress(builder, renewal)
    builder.group = renewal.group
    builder.workspace = renewal.workspace
    builder.rank = renewal.rank
    builder.promptTokens = renewal.prompt_tokens


def _write_progress(builder: Any, progress: Renewal | Release) -> None:
    write_cell(builder.init('cell'), progress.cell)
    builder.requestId = progress.request_id
    builder.streamedTokens = progress.streamed_tokens
