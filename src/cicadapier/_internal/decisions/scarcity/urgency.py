"""Urgency of a request, from the priorities that operators declare.

Short interactive requests and long prompts share engines. In a burst the declared priorities
decide who goes first; without them, the long prompts take the memory by their size.
"""

from typing import NewType

# 0 is the most urgent.
Urgency = NewType("Urgency", int)

MOST_URGENT = Urgency(0)
LAST_PRIORITY = 9  # Lower priorities than this count as this one.
LAST_LEVEL = 9  # Of the levels that engines tell apart.
# The requests of one account are told apart by this many priorities of their routes.
_ROUTE_PRIORITIES = 3


def effective(account_priority: int | None, route_priority: int) -> Urgency:
    """Returns the urgency of a request.

    The priority of its account precedes that of its route, which orders the requests of accounts
    with the same priority.
    """
    priority = route_priority if account_priority is None else account_priority
    bounded = min(LAST_PRIORITY, max(0, priority))
    within = min(_ROUTE_PRIORITIES - 1, max(0, route_priority))
    return Urgency(bounded * _ROUTE_PRIORITIES + within)


def engine_level(urgency: Urgency) -> int:
    """Returns the level of an urgency at engines, from 0 to `LAST_LEVEL`."""
    return min(LAST_LEVEL, urgency)
