"""Tasks that keep a daemon aware of the configuration and the fleet."""

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
_SHARE_PERIOD_S = 5


def start_platform_tasks(
    state: DaemonState, feed: ConfigurationUpdater
) -> None:
    """Start the tasks; the directory is left in a planned stop."""
    directory = Directory(state)
    state.stop_hooks.append(directory.leave)
    confirm = repeat(_CONFIRMATION_PERIOD_S, feed.confirmation.step)
    check = repeat(_ISOLATION_PERIOD_S, IsolationCheck(state).step)
    start_task('confirmation', confirm)
    share = repeat(_SHARE_PERIOD_S, lambda: adjust_platform_limits(state))
    start_task('platform share', share)
    start_task('isolation', check)
    start_task('directory', directory.run)
    watch = ConfigurationWatch(state.platform, feed)
    start_task('configuration', watch.run)
