"""Which members of groups answer although they have vanished, or do not."""

from __future__ import annotations

import time

import eventlet
from attrs import define

from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.groups import Formation, FormationKey, formations
from cowslipstep.model import DiscoveredRunner, OrderOutcome
from cowslipstep.serving._exchange import Exchange, open_answer
from cowslipstep.serving._registry import DaemonRegistry
from cowslipstep.serving._state import ServingState

# Several times the longest round trip; reports need no slot.
_PROBE_TIMEOUT_S = 0.4
# One lost packet does not make a runner unreachable.
_MISSES = 2
_STEP_S = 0.2
# Room for peers to tell that they reach a runner.
_MARGIN_S = 1
# A daemon that cannot be heard may reach what others do not; a partition
# that lasts longer has broken the groups behind it.
_UNHEARD_S = 15


@define
class _Probed:
    """What probes of one runner have shown."""

    runner: DiscoveredRunner
    misses: int = 0
    silent_since_s: float = 0
    refused: bool = False

    def answer(self) -> None:
        """Note an answer."""
        self.misses = 0
        self.refused = False

    def miss(self, *, refused: bool) -> None:
        """Note that there was no answer, or that nobody listens there."""
        if self.misses == 0:
            self.silent_since_s = time.monotonic()
        self.misses += 1
        self.refused = refused


class Reachability:
    """Probes members of groups that vanished or were found silent.

    Every daemon probes members whose entries are gone, since each of them
    may reach others; the keeper also probes members of suspected groups.

    Parameters
    ----------
    state
        State of the daemon.
    registry
        The other daemons.
    """

    def __init__(self, state: ServingState, registry: DaemonRegistry) -> None:
        self._state = state
        self._registry = registry
        self._probed: dict[str, _Probed] = {}
        self._probing: set[str] = set()
        self._members: dict[FormationKey, dict[int, DiscoveredRunner]] = {}

    @property
    def members(self) -> dict[FormationKey, dict[int, DiscoveredRunner]]:
        """Members by rank of each group that some runner reports."""
        return self._members

    @property
    def lost(self) -> frozenset[str]:
        """Registered runners that have not answered several probes."""
        runners = self._state.directory.runners
        return frozenset(
            name
            for name, probed in self._probed.items()
            if name in runners and probed.misses >= _MISSES
        )

    @property
    def heard(self) -> frozenset[str]:
        """Vanished members that answer this daemon or a peer."""
        told = {
            name
            for report in self._state.loads.reports
            for name in report.heard
        }
        return frozenset(told.union(self.own_heard()))

    @property
    def gone(self) -> frozenset[str]:
        """Vanished members that have certainly ended or broken their group."""
        heard = self.heard
        now_s = time.monotonic()
        return frozenset(
            name
            for name, probed in self._vanished()
            if probed.refused
            or (
                probed.misses >= _MISSES
                and name not in heard
                and now_s - probed.silent_since_s > self._silence_s()
            )
        )

    def own_heard(self) -> tuple[str, ...]:
        """Return the vanished members that answer this daemon."""
        return tuple(
            name
            for name, probed in self._vanished()
            if probed.misses == 0
        )

    def run(self) -> None:
        """Probe until the task is ended."""
        while True:
            eventlet.sleep(_STEP_S)
            doubtful = self._doubtful()
            for name in tuple(self._probed):
                if name not in doubtful:
                    self._probed.pop(name)
            for name, runner in doubtful.items():
                if name not in self._probing:
                    self._probing.add(name)
                    eventlet.spawn(self._probe, runner)

    def _vanished(self) -> list[tuple[str, _Probed]]:
        runners = self._state.directory.runners
        return [
            (name, probed)
            for name, probed in self._probed.items()
            if name not in runners
        ]

    def _silence_s(self) -> float:
        reporting = {report.daemon for report in self._state.loads.reports}
        if set(self._registry.others) - reporting:
            return _UNHEARD_S
        return self._state.settings.bounds.stall_s + _MARGIN_S

    def _doubtful(self) -> dict[str, DiscoveredRunner]:
        runners = self._state.directory.runners
        found = formations(runners.values())
        self._remember(found)
        doubtful = {
            member.name: member
            for members in self._members.values()
            for member in members.values()
            if member.name not in runners
        }
        for formation in self._suspected(found):
            for member in formation.members.values():
                doubtful[member.name] = member
        return doubtful

    def _remember(self, found: dict[FormationKey, Formation]) -> None:
        for key in tuple(self._members):
            if key not in found:
                self._members.pop(key)
        for key, formation in found.items():
            self._members.setdefault(key, {}).update(formation.members)

    def _suspected(
        self,
        found: dict[FormationKey, Formation],
    ) -> list[Formation]:
        if not self._state.is_keeper:
            return []
        suspects = set(self._state.suspicions.names) | set(self._probed)
        for report in self._state.loads.reports:
            suspects.update(report.suspects)
        return [
            formation
            for formation in found.values()
            if any(
                member.name in suspects
                for member in formation.members.values()
            )
        ]

    def _probe(self, runner: DiscoveredRunner) -> None:
        probed = self._probed.setdefault(runner.name, _Probed(runner))
        begun_s = time.monotonic()
        try:
            misdirected = self._is_misdirected(runner)
        except UpstreamFailure as failure:
            probed.miss(refused=failure.refused)
        else:
            self._note(probed, misdirected=misdirected)
        passed_s = time.monotonic() - begun_s
        eventlet.sleep(max(0, _STEP_S - passed_s))
        self._probing.discard(runner.name)

    def _note(self, probed: _Probed, *, misdirected: bool) -> None:
        if misdirected:
            probed.miss(refused=True)
        else:
            probed.answer()

    def _is_misdirected(self, runner: DiscoveredRunner) -> bool:
        """Ask for a report; say whether another runner has the address."""
        orders = self._state.dialects.orders
        exchange = Exchange(
            runner.address,
            'GET',
            orders.report_path,
            orders.headers(runner),
            b'',
            _PROBE_TIMEOUT_S,
        )
        with open_answer(exchange) as answer:
            answer.read_all(time.monotonic() + _PROBE_TIMEOUT_S)
            outcome = orders.outcome(answer.status)
        return outcome is OrderOutcome.misdirected

