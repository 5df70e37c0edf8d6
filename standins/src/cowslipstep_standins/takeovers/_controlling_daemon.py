"""A daemon that may control the groups of a fleet, in simulated time."""

from __future__ import annotations

import time
from typing import Any

import eventlet
from cowslipstep_standins.takeovers._grouped_runner import (
    MODEL,
    SERVICE,
    decode_runner,
)
from cowslipstep_standins.takeovers._grouped_runners import (
    HEARTBEAT_S,
    RUNNERS_KIND,
)
from attrs import define

from cowslipstep.fleet import (
    CallerLimits,
    EngineProfile,
    FleetView,
    ModelProfile,
    ServiceConfiguration,
    ServingConfiguration,
)
from cowslipstep.model import Address
from cowslipstep.platform._text_dialect import TEXT_DIALECT
from cowslipstep.serving._controller import GroupController
from cowslipstep.serving._dialects import Dialects
from cowslipstep.serving._kind_watch import KindWatch, WatchSchedule
from cowslipstep.serving._runner_observer import RunnerObserver
from cowslipstep.serving._state import ServingState
from cowslipstep.settings import ServingBounds, ServingSettings

# More than any fleet of a test can form.
_WANTED_GROUPS = 8
# By then live runners have written their entries again.
_REGISTRATION_S = HEARTBEAT_S + 0.5
_WATCH_INTERVAL_S = 0.3
_ANYWHERE = Address('127.0.0.1', 1)
ENGINE = EngineProfile(
    slots=9,
    models=(ModelProfile(MODEL, group_size=2),),
    step_s=0.1,
    sequence_step_s=0,
    prefill_tokens_per_s=1000,
    stride=1,
    loads_per_s=100,
    loads_at_once=100,
    usual_output_tokens=100,
)


class Views:
    """Views of a fleet whose runners all answer."""

    def __init__(self, state: ServingState) -> None:
        self._state = state

    def view(
        self, _service: str, engine: EngineProfile, departed: Any
    ) -> FleetView:
        """Return what a controller decides on."""
        return FleetView(
            dict(self._state.runner_table.runners),
            engine,
            time.monotonic(),
            {MODEL: _WANTED_GROUPS},
            departed=departed,
            load_limits_apply=False,
        )


@define
class Daemon:
    """One daemon, and its tasks."""

    state: ServingState
    tasks: list[Any]

    def kill(self) -> None:
        """End the daemon at once."""
        for task in self.tasks:
            task.kill()


def start_daemon(name: str, client: Any, encoding: Any) -> Daemon:
    """Start the tasks of a daemon that read runners and control groups."""
    state = _state(name, encoding)
    # It stands in for the client of a store over HTTP.
    state.platform = client
    watch = KindWatch(
        client,
        RUNNERS_KIND,
        RunnerObserver(state.runner_entries, _REGISTRATION_S),
        WatchSchedule(lambda: _WATCH_INTERVAL_S, bool),
    )
    views: Any = Views(state)
    controller = GroupController(state, views)
    tasks = [eventlet.spawn(watch.run), eventlet.spawn(controller.run)]
    return Daemon(state, tasks)


def _state(name: str, encoding: Any) -> ServingState:
    unused: Any = None
    state = ServingState(
        ServingSettings(
            name,
            'north',
            _ANYWHERE,
            _ANYWHERE,
            '/ready',
            _ANYWHERE,
            _ANYWHERE,
            platform_reads_per_s=100,
            platform_writes_per_s=100,
            bounds=ServingBounds(registration_s=_REGISTRATION_S),
        ),
        Dialects(TEXT_DIALECT, unused, encoding, _configuration, decode_runner),
    )
    state.configuration.update('1')
    state.relay_role.choose([])
    return state


def _configuration(_document: str) -> ServingConfiguration:
    service = ServiceConfiguration(SERVICE, ENGINE)
    return ServingConfiguration(1, (), {SERVICE: service}, CallerLimits(1000))
