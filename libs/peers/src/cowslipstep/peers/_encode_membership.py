"""Encoding of messages on membership, configuration and group ledgers."""

from __future__ import annotations

from typing import Any

from cowslipstep.model import (
    Acknowledgement,
    ConfigurationCopy,
    ConfigurationQuery,
    DaemonEntry,
    GroupLedgerCopies,
    GroupLedgerDocument,
    GroupLedgerQuery,
    Heartbeat,
    MembershipMessage,
)
from cowslipstep.peers._encode_heartbeat import write_heartbeat


def write_membership_message(frame: Any, message: MembershipMessage) -> None:
    """Write the union field of the frame for this type of message."""
    match message:
        case Acknowledgement():
            frame.acknowledgement = None
        case Heartbeat():
            write_heartbeat(frame.init('heartbeat'), message)
        case DaemonEntry():
            _write_daemon_entry(frame.init('daemonEntry'), message)
        case ConfigurationQuery(known_version):
            frame.configurationQuery = known_version
        case ConfigurationCopy(version, document, confirmed_age_s):
            copy = frame.init('configurationCopy')
            copy.version = version
            copy.document = document
            copy.confirmedAgeS = confirmed_age_s
        case GroupLedgerQuery(fabric_domain):
            frame.groupsQuery = fabric_domain
        case GroupLedgerCopies(ledgers):
            _write_ledgers(frame.init('groupsCopy', len(ledgers)), ledgers)


def _write_ledgers(
    builder: Any,
    ledgers: tuple[GroupLedgerDocument, ...],
) -> None:
    for index, ledger in enumerate(ledgers):
        builder[index].version = ledger.version
        builder[index].document = ledger.document


def _write_daemon_entry(builder: Any, entry: DaemonEntry) -> None:
    builder.name = entry.name
    builder.ip = entry.address.ip
    builder.port = entry.address.port
    builder.failureDomain = entry.failure_domain
    builder.incarnation = entry.incarnation
