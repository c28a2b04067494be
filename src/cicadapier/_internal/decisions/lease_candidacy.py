"""From when on a router may try to take the order lease of a pool.

Load pattern: all routers see at the same moment that engines are outdated. They try one after the
other, so that few writes collide; the number of routers in a turn doubles with each turn, so that a
large fleet in which the first routers cannot use the lease still finds one that can. Each hand-over
draws another order: otherwise the first few, whose pauses end meanwhile, would keep all others
from the lease.
"""

import collections.abc
import dataclasses
import hashlib
import math

from cicadapier._internal.models import ids

# Head start of the last holder, which need not wait for the end of another router's orders.
LAST_HOLDER_HEAD_START_S = 1.0
TURN_S = 0.4
# Time for which a router that could not use the lease leaves it to the others.
HANDED_OVER_PAUSE_S = 3.0
# Turns after a hand-over, which all routers see at once.
HAND_OVER_TURN_S = 0.05
# Wait before the lease is taken again once several holders in a row could not use it, as no router
# may reach the engines. It doubles with each of them.
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.6


@dataclasses.dataclass(frozen=True, slots=True)
class Vacancy:
    """What a router knows of a lease that it does not hold.

    Attributes:
        pool: Pool whose orders need the lease.
        outdated_since: Time since which some engine of the pool is outdated.
        last_holder: VM that holds or last held the lease, or None if there is no lease yet.
        hand_overs: Number of holders in a row that could not use the lease and released it.
        changed_at: Time at which this router saw the last change of the lease.
    """

    pool: ids.PoolId
    outdated_since: float
    last_holder: ids.VmId | None
    hand_overs: int
    changed_at: float


def earliest_attempt(
    vm: ids.VmId,
    routers: collections.abc.Iterable[ids.VmId],
    vacancy: Vacancy,
    handed_over_at: float,
) -> float:
    """Returns the time from which a router may try to take a lease.

    Args:
        vm: The router.
        routers: All routers, including this one.
        vacancy: The lease.
        handed_over_at: Time at which this router last handed the lease over; minus infinity if it
            never did.
    """
    if vacancy.last_holder == vm:
        return max(vacancy.outdated_since, handed_over_at + HANDED_OVER_PAUSE_S)
    turn = _turn(vm, routers, f"{vacancy.pool}/{vacancy.hand_overs}")
    head_start_s = 0.0 if vacancy.last_holder is None else LAST_HOLDER_HEAD_START_S
    if not vacancy.hand_overs:
        return vacancy.outdated_since + head_start_s + TURN_S * turn
    wait_s = _backoff_s(vacancy.hand_overs) + HAND_OVER_TURN_S * turn
    vacant_since = max(vacancy.outdated_since, vacancy.changed_at)
    return max(vacant_since + wait_s, handed_over_at + HANDED_OVER_PAUSE_S)


def _backoff_s(hand_overs: int) -> float:
    if hand_overs <= 1:
        return 0.0
    return min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2.0 ** min(hand_overs - 2, 16))


def _turn(vm: ids.VmId, routers: collections.abc.Iterable[ids.VmId], draw: str) -> int:
    """Returns the number of the turn of a router: 0 for the first one, 1 for the next two, ..."""
    ranked = sorted(routers, key=lambda router: _rank_key(router, draw))
    return int(math.log2(ranked.index(vm) + 1))


def _rank_key(vm: ids.VmId, draw: str) -> bytes:
    return hashlib.blake2b(f"{vm}/{draw}".encode(), digest_size=8).digest()
