"""Decoding of messages from packed Cap'n Proto."""

from __future__ import annotations

from typing import Any

import capnp

from cowslipstep.model import (
    Acknowledgement,
    Address,
    Ask,
    Cell,
    ConfigurationCopy,
    ConfigurationQuery,
    Grant,
    GroupReadiness,
    Heartbeat,
    Message,
    NotRun,
    Reason,
    Refusal,
    Release,
    Renewal,
    Request,
)
from cowslipstep.peers._frames import Frame, FrameError
from cowslipstep.peers._schema import SCHEMA

_MS_PER_S = 1000


def decode_frame(payload: bytes) -> Frame:
    """Read a frame from packed bytes.

    Raises
    ------
    FrameError
        If the bytes are no frame.
    """
    try:
        raw = SCHEMA.Frame.from_bytes_packed(payload)
        return Frame(raw.call, raw.reply, _message(raw))
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        raise FrameError(str(error)) from error


def _message(raw: Any) -> Message:  # noqa: WPS212
    match str(raw.which()):
        case 'acknowledgement':
            return Acknowledgement()
        case 'ask':
            return _ask(raw.ask)
        case 'grant':
            return _grant(raw.grant)
        case 'refusal':
            return _refusal(raw.refusal)
        case 'renewal':
            return _renewal(raw.renewal)
        case 'release':
            return _release(raw.release)
        case 'heartbeat':
            return _heartbeat(raw.heartbeat)
        case 'configurationQuery':
            return ConfigurationQuery(raw.configurationQuery)
        case 'configurationCopy':
            copy = raw.configurationCopy
            return ConfigurationCopy(copy.version, copy.document)
        case unknown:
            raise FrameError(f'unknown message {unknown}')


def _cell(raw: Any) -> Cell:
    return Cell(raw.model, raw.failureDomain)


def _ask(raw: Any) -> Ask:
    return Ask(_cell(raw.cell), _request(raw.request), tuple(raw.avoid))


def _request(raw: Any) -> Request:
    return Request(
        request_id=raw.requestId,
        workspace=raw.workspace,
        rank=raw.rank,
        model=raw.model,
        prompt_tokens=raw.promptTokens,
        output_tokens=raw.outputTokens,
        timeout_s=raw.timeoutMs / _MS_PER_S,
        idempotent=raw.idempotent,
        prefix_hash=raw.prefixHash,
    )


def _grant(raw: Any) -> Grant:
    return Grant(
        raw.requestId,
        raw.group,
        Address(raw.ip, raw.port),
        raw.validMs / _MS_PER_S,
    )


def _refusal(raw: Any) -> Refusal:
    verdict = NotRun(Reason(raw.reason), raw.retryAfterMs / _MS_PER_S)
    return Refusal(raw.requestId, verdict)


def _renewal(raw: Any) -> Renewal:
    return Renewal(_cell(raw.cell), raw.requestId, raw.streamedTokens)


def _release(raw: Any) -> Release:
    return Release(
        _cell(raw.cell),
        raw.requestId,
        raw.streamedTokens,
        raw.failed,
    )


def _heartbeat(raw: Any) -> Heartbeat:
    return Heartbeat(
        raw.daemon,
        raw.incarnation,
        raw.configurationVersion,
        tuple(
            GroupReadiness(entry.group, entry.remainingMs / _MS_PER_S)
            for entry in raw.readiness
        ),
        raw.stopping,
    )
