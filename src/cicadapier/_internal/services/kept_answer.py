"""One answer that is kept until all of it has been received and passed on."""

import collections.abc
import contextlib
import dataclasses

from cicadapier._internal.models import ids
from cicadapier._internal.protocols import held_bytes
from cicadapier._internal.protocols import http_client


@dataclasses.dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A complete answer of an upstream.

    Attributes:
        status: Status of the answer.
        headers: Headers for the caller.
        body: Complete body.
    """

    status: int
    headers: http_client.Headers
    body: bytes


class KeptAnswer:
    """Counts the bytes that are kept of an answer, and waits for room for more."""

    def __init__(
        self, held_answers: held_bytes.HeldBytes[ids.Address], address: ids.Address
    ) -> None:
        """Creates it.

        Args:
            held_answers: All answers that are kept.
            address: Address of the upstream that sends this one.
        """
        self._held_answers = held_answers
        self._address = address
        self._held: held_bytes.HeldMessage[ids.Address] | None = None

    async def add(self, size: int, head: http_client.ResponseHead | None) -> bool:
        """Counts a part and waits for room for the next one.

        Args:
            size: Size of the part.
            head: Head of the answer.

        Returns:
            Whether it had to wait.
        """
        if self._held is None:
            length = head.content_length if head else 0
            self._held = self._held_answers.open(self._address, length)
        self._held.add(size)
        return await self._held.wait_to_grow()

    def take(self) -> held_bytes.HeldMessage[ids.Address] | None:
        """Returns the record of the bytes that are kept; the caller releases it."""
        held, self._held = self._held, None
        return held

    @contextlib.contextmanager
    def until_sent(self) -> collections.abc.Generator[None]:
        """Counts the bytes that are kept until the context ends, in which they are sent."""
        held = self.take()
        try:
            yield
        finally:
            if held:
                held.release()

    def release(self) -> None:
        """Records that nothing of the answer is kept any more."""
        held = self.take()
        if held:
            held.release()
