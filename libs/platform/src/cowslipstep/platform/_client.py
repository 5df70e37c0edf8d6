"""Client of the platform's object API over HTTP."""

from __future__ import annotations

import time

from cowslipstep.model import Address
from cowslipstep.platform._budget import PlatformLimits
from cowslipstep.platform._budgets import CallBudgets
from cowslipstep.platform._call_hooks import CallHooks
from cowslipstep.platform._caller import PlatformCaller
from cowslipstep.platform._calls import PlatformCall
from cowslipstep.platform._conditional_change import ConditionalChange
from cowslipstep.platform._dialect import StoreDialect
from cowslipstep.platform._objects import ObjectKey, VersionConflict
from cowslipstep.platform._reader import ObjectReader
from cowslipstep.platform._store_eras import StoreEras, era_of, revision_of
from cowslipstep.platform._text_dialect import TEXT_DIALECT
from cowslipstep.platform._transport import PlatformTransport
from cowslipstep.platform._verified_change import change_verified


class PlatformClient(ObjectReader):
    """Reads, watches and conditionally changes platform objects.

    Parameters
    ----------
    address
        Address of the object API.
    sender
        Name of this client in the ``User-Agent`` header.
    limits
        Limits of the calls that this client may send.
    hooks
        What is done around each call.
    dialect
        Builds calls and parses responses.
    """

    def __init__(
        self,
        address: Address,
        sender: str = 'cowslipstep',
        limits: PlatformLimits | None = None,
        hooks: CallHooks | None = None,
        dialect: StoreDialect = TEXT_DIALECT,
    ) -> None:
        hooks = hooks or CallHooks()
        transport = PlatformTransport(
            address, sender, dialect.responses, hooks.time_limit
        )
        self._budgets = CallBudgets(limits or PlatformLimits(), time.monotonic)
        caller = PlatformCaller(transport, self._budgets, hooks.on_call)
        super().__init__(caller, dialect)

    def change_limits(self, limits: PlatformLimits) -> None:
        """Replace the limits of calls."""
        self._budgets.change_limits(limits)

    def create(self, key: ObjectKey, body: str) -> int:
        """Create an object and return its version.

        Raises
        ------
        VersionConflict
            If the object exists already.
        PlatformUnavailable
            If there was no usable response; the verdict says whether the
            change may have taken effect.
        """
        return self._change(key, self._dialect.calls.create(key, body))

    def update(self, key: ObjectKey, version: int, body: str) -> int:
        """Replace an object that still has ``version``; return its new version.

        Raises
        ------
        VersionConflict
            If the object has another version by now.
        PlatformUnavailable
            If there was no usable response; the verdict says whether the
            change may have taken effect.
        """
        revision = _present_revision(self.eras, key, version)
        call = self._dialect.calls.update(key, revision, body)
        return self._change(key, call)

    def update_verified(
        self,
        key: ObjectKey,
        version: int,
        body: str,
        attempt_id: str,
    ) -> int:
        """Replace or create an object; if a response is lost, read it back.

        Parameters
        ----------
        key
            The object.
        version
            Version that it must still have; zero creates it.
        body
            New body, which contains ``attempt_id``.
        attempt_id
            Id that no other change has.

        Raises
        ------
        VersionConflict
            If another change came first; this one never took effect.
        PlatformUnavailable
            ``NotRun`` if the change was never sent; ``MayHaveRun`` if the
            object could not be read back, or holds another change by now.
        """
        return change_verified(
            self, ConditionalChange(key, version, body, attempt_id)
        )

    def delete(self, key: ObjectKey, version: int) -> None:
        """Delete an object that still has ``version``.

        Raises
        ------
        VersionConflict
            If the object has another version by now.
        PlatformUnavailable
            If there was no usable response.
        """
        revision = _present_revision(self.eras, key, version)
        self._caller.call(self._dialect.calls.delete(key, revision))

    def _change(self, key: ObjectKey, call: PlatformCall) -> int:
        return self._parse_object(key, call, self._caller.call(call)).version


def _present_revision(eras: StoreEras, key: ObjectKey, version: int) -> int:
    """Return the revision that a conditional change expects.

    Raises
    ------
    VersionConflict
        If the store has come back from an older copy since: another change
        may have the same revision now.
    """
    if era_of(version) < eras.newest:
        raise VersionConflict(f'{key}: of an earlier era of the store')
    return revision_of(version)
