"""Ledgers of groups, one for each fabric domain, stored at the platform."""

from __future__ import annotations

import contextlib
import json
from collections.abc import Iterator

from cowslipstep.groups import (
    DomainLedger,
    LedgerConflict,
    LedgerUnavailable,
    VersionedLedger,
)
from cowslipstep.model import GroupLedgerDocument
from cowslipstep.platform import (
    ObjectKey,
    ObjectMissing,
    PlatformClient,
    PlatformUnavailable,
    StoredObject,
    VersionConflict,
)
from cowslipstep.settings import parse_json, structure, unstructure

GROUP_LEDGER_KIND = 'ledger'


class PlatformGroupLedger:
    """The ledger of one fabric domain as an object of the platform.

    Parameters
    ----------
    platform
        Client of the platform.
    domain
        Name of the fabric domain.
    """

    def __init__(self, platform: PlatformClient, domain: str) -> None:
        self._platform = platform
        self._domain = domain
        self._key = ObjectKey(GROUP_LEDGER_KIND, domain)

    def read(self) -> VersionedLedger:
        """Read the ledger; create an empty one if it does not exist.

        Raises
        ------
        LedgerConflict
            If the ledger was deleted meanwhile.
        LedgerUnavailable
            If the platform did not respond.
        """
        with _ledger_errors():
            with contextlib.suppress(ObjectMissing):
                return decode_ledger(self._platform.read(self._key))
            with contextlib.suppress(VersionConflict):
                return self._create()
            # Another daemon has created it meanwhile.
            return decode_ledger(self._platform.read(self._key))

    def write(self, version: int, ledger: DomainLedger) -> int:
        """Replace the ledger if it has ``version``; return the new version.

        Raises
        ------
        LedgerConflict
            If the ledger has another version.
        LedgerUnavailable
            If the platform did not respond.
        """
        body = encode_ledger(ledger)
        with _ledger_errors():
            return self._platform.update(self._key, version, body)

    def wait(self, version: int, wait_s: float) -> None:
        """Wait until the ledger is newer than ``version``.

        The wait ends after ``wait_s`` seconds at the latest.

        Raises
        ------
        LedgerUnavailable
            If the platform did not respond.
        """
        with _ledger_errors():
            self._platform.watch(self._key, version, wait_s)

    def _create(self) -> VersionedLedger:
        ledger = DomainLedger(self._domain)
        version = self._platform.create(self._key, encode_ledger(ledger))
        return VersionedLedger(version, ledger)


def decode_ledger(stored: StoredObject) -> VersionedLedger:
    """Read a ledger from its platform object."""
    ledger = structure(parse_json(stored.body), DomainLedger)
    return VersionedLedger(stored.version, ledger)


def ledger_message(versioned: VersionedLedger) -> GroupLedgerDocument:
    """Return the part of a message that carries a ledger to a peer."""
    return GroupLedgerDocument(
        versioned.version, encode_ledger(versioned.ledger)
    )


def ledger_from_message(received: GroupLedgerDocument) -> VersionedLedger:
    """Read a ledger that a peer sent.

    Raises
    ------
    ExceptionGroup
        If the document does not parse.
    """
    ledger = structure(parse_json(received.document), DomainLedger)
    return VersionedLedger(received.version, ledger)


def encode_ledger(ledger: DomainLedger) -> str:
    """Return the JSON text of a ledger."""
    return json.dumps(unstructure(ledger))


@contextlib.contextmanager
def _ledger_errors() -> Iterator[None]:
    """Replace errors of the platform by those that controllers expect."""
    try:
        yield
    except (VersionConflict, ObjectMissing) as conflict:
        raise LedgerConflict(str(conflict)) from conflict
    except PlatformUnavailable as error:
        raise LedgerUnavailable(str(error)) from error
