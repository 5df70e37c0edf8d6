"""Encoding of messages as packed Cap'n Proto."""

from __future__ import annotations

from typing import Any

from cowslipstep.model import (
    Acknowledgement,
    Ask,
    Cell,
    ConfigurationCopy,
    ConfigurationQuery,
    Grant,
    GroupReadiness,
    Heartbeat,
    Message,
    Refusal,
    Release,
    Renewal,
    Request,
)
from cowslipstep.peers._frames import Frame
from cowslipstep.peers._schema import SCHEMA

_MS_PER_S = 1000
_MAX_UINT32 = 0xFFFFFFFF


def encode_frame(frame: Frame) -> bytes:
    """Return the packed bytes of a frame."""
    name, body = _body(frame.message)
    fields = {'call': frame.call, 'reply': frame.reply, name: body}
    return SCHEMA.Frame.new_message(**fields).to_bytes_packed()


def _body(message: Message) -> tuple[str, Any]:  # noqa: WPS212
    match message:
        case Acknowledgement():
            return 'acknowledgement', None
        case Ask():
            return 'ask', _ask(message)
        case Grant():
            return 'grant', _grant(message)
        case Refusal():
            return 'refusal', _refusal(message)
        case Renewal():
            return 'renewal', _progress(message)
        case Release():
            return 'release', {
                **_progress(message),
                'failed': message.failed,
            }
        case Heartbeat():
            return 'heartbeat', _heartbeat(message)
        case ConfigurationQuery(known_version):
            return 'configurationQuery', known_version
        case ConfigurationCopy(version, document):
            return 'configurationCopy', {
                'version': version,
                'document': document,
            }


def _ms(seconds: float) -> int:
    return min(max(0, int(seconds * _MS_PER_S)), _MAX_UINT32)


def _cell(cell: Cell) -> dict[str, str]:
    return {'model': cell.model, 'failureDomain': cell.failure_domain}


def _ask(ask: Ask) -> dict[str, Any]:
    return {
        'cell': _cell(ask.cell),
        'request': _request(ask.request),
        'avoid': list(ask.avoid),
    }


def _request(request: Request) -> dict[str, Any]:
    return {
        'requestId': request.request_id,
        'workspace': request.workspace,
        'rank': request.rank,
        'model': request.model,
        'promptTokens': min(request.prompt_tokens, _MAX_UINT32),
        'outputTokens': min(request.output_tokens, _MAX_UINT32),
        'timeoutMs': _ms(request.timeout_s),
        'idempotent': request.idempotent,
        'prefixHash': request.prefix_hash,
    }


def _grant(grant: Grant) -> dict[str, Any]:
    return {
        'requestId': grant.request_id,
        'group': grant.group,
        'ip': grant.address.ip,
        'port': grant.address.port,
        'validMs': _ms(grant.valid_s),
    }


def _refusal(refusal: Refusal) -> dict[str, Any]:
    return {
        'requestId': refusal.request_id,
        'reason': refusal.verdict.reason.value,
        'retryAfterMs': _ms(refusal.verdict.retry_after_s),
    }


def _progress(progress: Renewal | Release) -> dict[str, Any]:
    return {
        'cell': _cell(progress.cell),
        'requestId': progress.request_id,
        'streamedTokens': progress.streamed_tokens,
    }


def _heartbeat(heartbeat: Heartbeat) -> dict[str, Any]:
    return {
        'daemon': heartbeat.daemon,
        'incarnation': heartbeat.incarnation,
        'configurationVersion': heartbeat.configuration_version,
        'readiness': [_readiness(entry) for entry in heartbeat.readiness],
        'stopping': heartbeat.stopping,
    }


def _readiness(readiness: GroupReadiness) -> dict[str, Any]:
    return {
        'group': readiness.group,
        'remainingMs': _ms(readiness.remaining_s),
    }
