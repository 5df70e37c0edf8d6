"""Replays of a fleet of simulated runners under the planner, without sockets.

Runners follow the published rules of the engines: a runner that joins a group
leaves its former one, commands of an older epoch or term are refused, and a
leader makes no progress once a member has left its group.
"""

from cowslipstep.fleet.replay._demand_wave import DemandWave
from cowslipstep.fleet.replay._fleet_replay import STEP_S, FleetReplay
from cowslipstep.fleet.replay._former_reallocations import (
    FormerReallocations,
)
from cowslipstep.fleet.replay._losses import (
    ControllerLost,
    LossCase,
    RunnersCut,
    RunnersLost,
    RunnersStarted,
    scheduled_events,
)
from cowslipstep.fleet.replay._loss_figures import LossFigures
from cowslipstep.fleet.replay._loss_replay import replay_losses
from cowslipstep.fleet.replay._simulated_runners import (
    CLOSE_S,
    SERVICE,
    SimulatedRunners,
    runner_of,
)
