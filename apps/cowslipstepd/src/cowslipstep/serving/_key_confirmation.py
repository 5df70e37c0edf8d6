"""Task that confirms in time that the API keys in force are current."""

from __future__ import annotations

import math

import eventlet
from loguru import logger

from cowslipstep.model import CowslipstepError
from cowslipstep.platform import HistoryGone
from cowslipstep.serving._clocks import boot_time_s
from cowslipstep.serving._configuration_in_force import ConfigurationObserver
from cowslipstep.serving._key_permission import accepts_keys
from cowslipstep.serving._state import ServingState

_POLL_PERIOD_S = 0.2
_RETRY_DELAY_S = 0.3
# Parts of the time after which a withdrawn key is refused everywhere, at which
# a confirmation is renewed: by relays early, since their followers rest on
# theirs; by followers only if their relay has not renewed it.
_RENEWAL_SHARE = 0.4
_FOLLOWER_RENEWAL_SHARE = 0.6


class KeyConfirmation:
    """Asks the platform for changes of the configuration when it is due.

    The watch of the configuration confirms only as of the time before its
    last call, which may wait for long.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: ServingState) -> None:
        self._state = state
        self._key = state.dialects.configuration_key
        self._observer = ConfigurationObserver(state.configuration, self._key)
        self._accepted = True

    def run(self) -> None:
        """Confirm until the task is ended."""
        while True:
            eventlet.sleep(_POLL_PERIOD_S)
            if self._is_due():
                self._ask_platform()
            self._log_changed_acceptance()

    def _is_due(self) -> bool:
        configuration = self._state.configuration
        revocation_s = self._state.settings.bounds.revocation_s
        if revocation_s == math.inf or not configuration.freshness.revision:
            return False
        share = (
            _FOLLOWER_RENEWAL_SHARE
            if self._state.relay_role.relies_on_relay
            else _RENEWAL_SHARE
        )
        age_s = boot_time_s() - configuration.freshness.confirmed_at_s
        return age_s > share * revocation_s

    def _ask_platform(self) -> None:
        asked_at_s = boot_time_s()
        try:
            self._read_changes()
        except CowslipstepError as error:
            logger.debug('keys not confirmed, retrying: {}', error)
            eventlet.sleep(_RETRY_DELAY_S)
            return
        self._state.configuration.freshness.confirm(asked_at_s)

    def _read_changes(self) -> None:
        platform = self._state.platform
        revision = self._state.configuration.freshness.revision
        try:
            changes = platform.watch_kind(self._key.kind, revision, wait_s=0)
        except HistoryGone:
            self._observer.replace(platform.list_kind(self._key.kind))
        else:
            self._observer.apply(changes)

    def _log_changed_acceptance(self) -> None:
        accepted = accepts_keys(self._state)
        if accepted == self._accepted:
            return
        self._accepted = accepted
        if accepted:
            logger.info('keys confirmed, requests with keys are served')
        else:
            logger.warning(
                'keys not confirmed in time, requests with keys are refused'
            )
