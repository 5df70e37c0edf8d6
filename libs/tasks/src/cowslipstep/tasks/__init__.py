"""Fairness between the green threads of one process, and accepting for good.

The standard library is patched by the program, so that ``time.sleep`` lets
other tasks run; without the patch it lets other threads run.
"""

from cowslipstep.tasks._accepting import accepted_connections
from cowslipstep.tasks._loop_watch import LoopWatch
from cowslipstep.tasks._time_slice import TimeSlice
