"""Client of the platform's object API over HTTP."""

from __future__ import annotations

import time

from cowslipstep.model import Address
from cowslipstep.platform._budget import PlatformLimits
from cowslipstep.platform._budgets import CallBudgets
from cowslipstep.platform._caller import CallObserver, PlatformCaller
from cowslipstep.platform._calls import CallRecord, PlatformCall
from cowslipstep.platform._change import Change
from cowslipstep.platform._dialect import StoreDialect
from cowslipstep.platform._objects import ObjectKey
from cowslipstep.platform._reader import ObjectReader
from cowslipstep.platform._text_dialect import TEXT_DIALECT
from cowslipstep.platform._transport import PlatformTransport
from cowslipstep.platform._verified_change import change_verified


def ignore_call(_record: CallRecord) -> None:
    """Observe calls without counting them."""


class PlatformClient(ObjectReader):
    """Reads, watches and conditionally changes platform objects.

    Parameters
    ----------
    address
        Address of the object API.
    sender
        Name that the platform sees in the ``User-Agent`` header.
    limits
        Budget of calls.
    on_call
        Told of each call, for counts.
    dialect
        Writes calls and reads answers.
    """

    def __init__(
        self,
        address: Address,
        sender: str = 'cowslipstep',
        limits: PlatformLimits | None = None,
        on_call: CallObserver = ignore_call,
        dialect: StoreDialect = TEXT_DIALECT,
    ) -> None:
        transport = PlatformTransport(address, sender, dialect.answers)
        self._budgets = CallBudgets(limits or PlatformLimits(), time.monotonic)
        caller = PlatformCaller(transport, self._budgets, on_call)
        super().__init__(caller, dialect)

    def change_limits(self, limits: PlatformLimits) -> None:
        """Use other limits of calls from now on."""
        self._budgets.change_limits(limits)

    def create(self, key: ObjectKey, body: str) -> int:
        """Create an object and return its version.

        Raises
        ------
        VersionConflict
            If it exists already.
        PlatformUnavailable
            If there was no answer; its verdict says whether the change may
            have taken effect.
        """
        return self._change(key, self._dialect.calls.create(key, body))

    def update(self, key: ObjectKey, version: int, body: str) -> int:
        """Replace an object that still has ``version``; return the new one.

        Raises
        ------
        VersionConflict
            If the object has another version by now.
        PlatformUnavailable
            If there was no answer; its verdict says whether the change may
            have taken effect.
        """
        return self._change(key, self._dialect.calls.update(key, version, body))

    def update_verified(
        self,
        key: ObjectKey,
        version: int,
        body: str,
        attempt_id: str,
    ) -> int:
        """Replace or create an object; a lost answer is read back.

        Parameters
        ----------
        key
            The object.
        version
            Version that it must still have; zero creates it.
        body
            New text, which holds ``attempt_id`` somewhere.
        attempt_id
            Unique to this change.

        Raises
        ------
        VersionConflict
            If another change won; this one never took effect.
        PlatformUnavailable
            ``NotRun`` if the change was never sent; ``MayHaveRun`` if the
            object could not be read back, or has changed again since.
        """
        return change_verified(self, Change(key, version, body, attempt_id))

    def delete(self, key: ObjectKey, version: int) -> None:
        """Delete an object that still has ``version``.

        Raises
        ------
        VersionConflict
            If the object has another version by now.
        PlatformUnavailable
            If there was no answer.
        """
        self._caller.call(self._dialect.calls.delete(key, version))

    def _change(self, key: ObjectKey, call: PlatformCall) -> int:
        document = self._caller.call(call).json()
        return self._dialect.answers.stored(key, document).version
