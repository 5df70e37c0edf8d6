"""Log lines on the use of evacuated failure domains."""

from __future__ import annotations

from attrs import define, field
from loguru import logger

from cowslipstep.serving._evacuation_use import DomainUse, evacuated_use
from cowslipstep.serving._state import ServingState


@define
class EvacuationLog:
    """Logs the use of evacuated domains whenever it has changed.

    Parameters
    ----------
    state
        State of the daemon.
    """

    _state: ServingState
    _logged: dict[str, DomainUse] = field(factory=dict)

    def log(self) -> None:
        """Log the use of each domain in which it has changed."""
        if not (self._state.evacuations.current.domains or self._logged):
            return
        uses = evacuated_use(self._state)
        for domain, use in uses.items():
            if use != self._logged.get(domain):
                logger.bind(
                    failure_domain=domain,
                    runners_in_use=use.runners,
                    groups_in_use=use.groups,
                ).info('evacuation in progress')
        self._logged = uses
