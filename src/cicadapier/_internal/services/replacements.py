"""Replacement of an attempt that makes no progress by another one."""

import abc
import dataclasses
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

from cicadapier._internal.decisions import routing
from cicadapier._internal.models import outcomes
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.services import attempt_errors

if TYPE_CHECKING:
    from cicadapier._internal.services import attempts

_ReadResult = TypeVar("_ReadResult")


@dataclasses.dataclass(frozen=True, slots=True)
class Replacement:
    """The attempt that replaces a silent one.

    Attributes:
        placed: Placement of the new attempt.
        attempt: The new attempt, which has an open connection at least.
    """

    placed: routing.Placed
    attempt: "attempts.Attempt"


class AttemptSupersededError(Exception):
    """The attempt was replaced by another one.

    Attributes:
        replacement: The attempt that replaces it.
        former: Outcome of the replaced attempt.
    """

    def __init__(self, replacement: Replacement, former: outcomes.AttemptOutcome) -> None:
        super().__init__(getattr(former, "reason", ""))
        self.replacement = replacement
        self.former = former


class SilenceHandler(abc.ABC):
    """Looks for a replacement for an attempt that makes no progress.

    A silent attempt is not ended for its silence alone, only once another attempt replaces it.
    """

    @abc.abstractmethod
    def silence_timeout_s(self, attempt: "attempts.Attempt") -> float:
        """Returns the time without progress until an attempt counts as silent, inf for never."""

    @abc.abstractmethod
    async def find_replacement(self, attempt: "attempts.Attempt") -> Replacement | None:
        """Returns a replacement, or None to continue; the attempt's progress cancels the search."""

    def handle_attempt_failure(self) -> None:
        """Handles the failure of the silent attempt during the search.

        A replacement that has been sent may then take over before its answer begins.
        """
        return


@dataclasses.dataclass
class ReadRace(Generic[_ReadResult]):
    """State of a read that runs concurrently with the search for a replacement.

    Attributes:
        data: Result of the read; empty until it has succeeded.
        failure: Error with which the read failed.
        replacement: The replacement that was found.
        is_searching: Whether the silence handler is searching for a replacement.
    """

    data: list[_ReadResult] = dataclasses.field(default_factory=list)
    failure: exceptions.ProtocolError | attempt_errors.AttemptFailedError | None = None
    replacement: Replacement | None = None
    is_searching: bool = False
