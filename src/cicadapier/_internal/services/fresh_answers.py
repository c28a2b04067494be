"""Answers of the store that were asked for after a given moment, shared by all that need one."""

import collections.abc

import trio

MIN_INTERVAL_S = 0.05  # Between two queries, so that many that wait share one.
QUERY_TIMEOUT_S = 0.5


class _Outcome:
    """Outcome of a query.

    Attributes:
        succeeded: Whether it was answered.
        ended: Set when it has ended.
    """

    def __init__(self) -> None:
        self.succeeded = False
        self.ended = trio.Event()


class FreshAnswers:
    """Sends a query on demand; whoever asks meanwhile waits for the next one."""

    def __init__(
        self, query: collections.abc.Callable[[], collections.abc.Awaitable[bool]]
    ) -> None:
        """Creates it.

        Args:
            query: Sends a query and applies its answer; returns whether it was answered.
        """
        self._query = query
        self._next = _Outcome()
        self._wanted = trio.Event()

    async def run(self) -> None:
        """Runs until it is cancelled."""
        while True:
            await self._wanted.wait()
            self._wanted = trio.Event()
            outcome, self._next = self._next, _Outcome()
            with trio.move_on_after(QUERY_TIMEOUT_S):
                outcome.succeeded = await self._query()
            outcome.ended.set()
            await trio.sleep(MIN_INTERVAL_S)

    async def wait(self, timeout_s: float) -> bool:
        """Returns whether a query that was sent from now on was answered in time.

        Args:
            timeout_s: Longest wait.
        """
        outcome = self._next
        self._wanted.set()
        with trio.move_on_after(timeout_s):
            await outcome.ended.wait()
        return outcome.succeeded
