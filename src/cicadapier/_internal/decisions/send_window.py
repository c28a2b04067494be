"""How many requests a router has at an upstream that must not find out its room by rejections.

Load pattern: more requests wait than the upstreams of a pool have room for, and an upstream falls
over when it has to reject too many. What the router had there as it was rejected fits; each request
that ends makes room for the next one. One more is tried at intervals, and as long as these are
accepted, another one with each answer.
"""


class SendWindow:
    """Limit of the requests that a router has at one upstream."""

    def __init__(self, in_flight: int, interval_s: float, now: float) -> None:
        """Creates it as a request is rejected.

        Args:
            in_flight: Requests of this router at the upstream, without the rejected one.
            interval_s: Time after a rejection until one more is tried.
            now: Current time.
        """
        self._limit = in_flight
        self._grows_at = now + interval_s

    def has_room(self, in_flight: int, now: float) -> bool:
        """Returns whether one more request may be sent.

        Args:
            in_flight: Requests of this router at the upstream.
            now: Current time.
        """
        return in_flight < self._limit + int(now >= self._grows_at)

    def record_answer(self, in_flight: int, now: float) -> None:
        """Records that an answer has begun, so that the upstream has accepted what is there.

        Args:
            in_flight: Requests of this router at the upstream.
            now: Current time.
        """
        if now >= self._grows_at:
            self._limit = max(self._limit, in_flight)
