"""Decoding of messages on membership, configuration and group ledgers."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

from cowslipstep.model import (
    Acknowledgement,
    Address,
    ConfigurationCopy,
    ConfigurationQuery,
    DaemonEntry,
    GroupLedgerCopies,
    GroupLedgerDocument,
    GroupLedgerQuery,
    MembershipMessage,
)
from cowslipstep.peers._decode_heartbeat import decode_heartbeat


def decode_membership_message(
    name: str,
    body: Any,
) -> MembershipMessage | None:
    """Decode the union field ``name``; return ``None`` for other messages."""
    reader = _READERS.get(name)
    return None if reader is None else reader(body)


def _acknowledgement(_raw: Any) -> Acknowledgement:
    return Acknowledgement()


def _configuration_copy(raw: Any) -> ConfigurationCopy:
    return ConfigurationCopy(raw.version, raw.document, raw.confirmedAgeS)


def _daemon_entry(raw: Any) -> DaemonEntry:
    return DaemonEntry(
        raw.name,
        Address(raw.ip, raw.port),
        raw.failureDomain,
        raw.incarnation,
    )


def _ledger_copies(raw: Any) -> GroupLedgerCopies:
    return GroupLedgerCopies(
        tuple(
            GroupLedgerDocument(entry.version, entry.document) for entry in raw
        ),
    )


_READERS: Mapping[str, Callable[[Any], MembershipMessage]] = MappingProxyType(
    {
        'acknowledgement': _acknowledgement,
        'heartbeat': decode_heartbeat,
        'daemonEntry': _daemon_entry,
        'configurationQuery': ConfigurationQuery,
        'configurationCopy': _configuration_copy,
        'groupsQuery': GroupLedgerQuery,
        'groupsCopy': _ledger_copies,
    }
)
