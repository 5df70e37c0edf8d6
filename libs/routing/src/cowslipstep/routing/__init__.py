"""Decisions on requests: who owns a cell, which group serves, in what order.

Nothing here knows sockets, HTTP or the encoding of messages; clocks are
passed in.
"""

from cowslipstep.routing._cells import order_cells as order_cells
from cowslipstep.routing._dispatcher import Clock as Clock
from cowslipstep.routing._dispatcher import Dispatcher as Dispatcher
from cowslipstep.routing._dispatcher import GroupSlots as GroupSlots
from cowslipstep.routing._ownership import rank_owners as rank_owners
