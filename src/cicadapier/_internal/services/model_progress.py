"""Progress of the answer of a model, and the hedging of attempts whose answer is late."""

import math

from cicadapier._internal.decisions import retries
from cicadapier._internal.models import ids
from cicadapier._internal.services import attempts
from cicadapier._internal.services import hedging
from cicadapier._internal.services import replacements
from cicadapier._internal.services import request_context


class Progress:
    """Progress of the answer over all attempts.

    Attributes:
        offset: Tokens of the answer that the caller has received.
        cached_tokens: Prompt tokens that the answering engine had cached; None before the first
            token.
        last_token_at: Time of the latest token.
        finished: Whether the last token of the answer has arrived.
        weights_version: Weights version that the answer names, if any.
    """

    def __init__(self) -> None:
        self.offset = 0
        self.cached_tokens: int | None = None
        self.last_token_at: float | None = None
        self.finished = False
        self.weights_version: bytes | None = None


class FirstTokenHedger(hedging.Hedger):
    """Hedges an attempt whose answer starts much later than estimated.

    Attributes:
        hedge_after_s: Time without an answer after which the current attempt is hedged.
    """

    def __init__(
        self,
        services: request_context.Services,
        request: ids.RequestId,
        sequence: retries.AttemptSequence,
        progress: Progress,
        starter: hedging.AttemptStarter,
    ) -> None:
        super().__init__(services, request, sequence, starter)
        self.hedge_after_s = math.inf
        self._progress = progress

    def silence_timeout_s(self, attempt: attempts.Attempt) -> float:
        """See `replacements.SilenceHandler.silence_timeout_s`."""
        return self.hedge_after_s if attempt.head is None else math.inf

    async def find_replacement(self, attempt: attempts.Attempt) -> replacements.Replacement | None:
        """See `replacements.SilenceHandler.find_replacement`."""
        return await self.start_hedge(self._progress.offset)
