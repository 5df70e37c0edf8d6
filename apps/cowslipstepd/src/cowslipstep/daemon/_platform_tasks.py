"""Tasks that use the platform: configuration, directory and call limits."""

from __future__ import annotations

from cowslipstep.daemon._configuration_updater import ConfigurationUpdater
from cowslipstep.daemon._configuration_watch import ConfigurationWatch
from cowslipstep.daemon._directory import Directory
from cowslipstep.daemon._isolation import IsolationCheck
from cowslipstep.daemon._platform_limits import adjust_platform_limits
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._tasks import repeat, start_task

_CONFIRMATION_PERIOD_S = 0.1
_ISOLATION_PERIOD_S = 1
_LIMITS_PERIOD_S = 5


def start_platform_tasks(
    state: DaemonState, updater: ConfigurationUpdater
) -> None:
    """Start the tasks; a planned stop removes the directory entry."""
    directory = Directory(state)
    state.stop_hooks.append(directory.leave)
    confirmation_step = repeat(
        _CONFIRMATION_PERIOD_S, updater.confirmation.step
    )
    isolation = repeat(_ISOLATION_PERIOD_S, IsolationCheck(state).step)
    start_task('confirmation', confirmation_step)
    adjust = repeat(_LIMITS_PERIOD_S, lambda: adjust_platform_limits(state))
    start_task('platform share', adjust)
    start_task('isolation', isolation)
    start_task('directory', directory.run)
    watch = ConfigurationWatch(state.platform, updater)
    start_task('configuration', watch.run)
