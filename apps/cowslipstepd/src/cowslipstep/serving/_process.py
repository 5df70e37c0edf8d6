"""What a daemon knows of its own process."""

from __future__ import annotations

from attrs import define, field

from cowslipstep.daemon._tasks import SupervisedTasks
from cowslipstep.serving._descriptor_budget import DescriptorBudget, share_out
from cowslipstep.serving._loop_pauses import LoopPauses
from cowslipstep.serving._planned_stop import PlannedStop
from cowslipstep.settings import ServingSettings


@define
class Process:
    """Tasks, pauses and descriptors of the process.

    Attributes
    ----------
    descriptors
        How the descriptors are shared out.
    tasks
        Tasks that serving needs.
    loop_pauses
        Times in which no task could run.
    planned_stop
        What is still taken once a planned stop has begun.
    """

    descriptors: DescriptorBudget
    tasks: SupervisedTasks = field(factory=SupervisedTasks)
    loop_pauses: LoopPauses = field(factory=LoopPauses)
    planned_stop: PlannedStop = field(factory=PlannedStop)

    def apply(self, settings: ServingSettings) -> None:
        """Share out the descriptors of new settings."""
        self.descriptors = share_out(settings.max_sockets)
        self.descriptors.log()


def process_of(settings: ServingSettings) -> Process:
    """Return the process at its start."""
    return Process(share_out(settings.max_sockets))
