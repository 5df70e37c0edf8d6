"""Replay of traces through the dispatchers with an injected clock.

Engines are modelled by slots that are held for as long as a request's
tokens take; the decisions are the code that the daemon runs.
"""

from cowslipstep.replay._baselines import (
    ChoiceOfTwo,
    FifoDispatcher,
)
from cowslipstep.replay._fleet import FleetModel
from cowslipstep.replay._measures import lower_is_better, measure_all, reaches
from cowslipstep.replay._outcomes import Outcome, write_outcome
from cowslipstep.replay._owners import OwnerSplit
from cowslipstep.replay._owner_figures import OwnerCost, measure_owners
from cowslipstep.replay._replay import DispatchPolicy, replay
from cowslipstep.replay._run import Run
from cowslipstep.replay._spec import Phase, Stream, TraceSpec, read_spec
from cowslipstep.replay._statistics import (
    jain_index,
    percentile,
    rank_shares,
    served_tokens,
)
from cowslipstep.replay._trace import Arrival, expand
