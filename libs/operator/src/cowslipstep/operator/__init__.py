"""Operators' library: builds configurations and prints them as JSON."""

from cowslipstep.operator._addresses import address_range
from cowslipstep.operator._changes import Change, list_changes
from cowslipstep.operator._document import (
    build_configuration,
    print_configuration,
)
from cowslipstep.operator._keys import hash_key
from cowslipstep.operator._parts import (
    model,
    rank,
    service,
    targets,
    workspace,
)
from cowslipstep.operator._runners import runners
from cowslipstep.operator._several import runners_in, trial_workspaces
