"""Library for operators: builds configurations and prints them as JSON."""

from cowslipstep.operator._addresses import address_range
from cowslipstep.operator._bulk_entries import runners_in, trial_workspaces
from cowslipstep.operator._changes import Change, list_changes
from cowslipstep.operator._document import (
    build_configuration,
    print_configuration,
)
from cowslipstep.operator._entries import (
    model,
    rank,
    service,
    targets,
    workspace,
)
from cowslipstep.operator._keys import hash_key
from cowslipstep.operator._runners import runners
