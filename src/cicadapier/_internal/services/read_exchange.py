"""Interface by which watches of the store share what they read with other routers."""

import abc
from typing import Protocol

from cicadapier._internal.decisions.fleet import shared_reads
from cicadapier._internal.models import store_versions
from cicadapier._internal.protocols import store_format


class SharedWatch(Protocol):
    """A watch of one kind that may follow a reader.

    Attributes:
        kind: The kind.
    """

    kind: str

    def hear(self, report: shared_reads.ReadReport, proved_at: float) -> shared_reads.Verdict:
        """Applies what a reader reports, if it holds."""

    def stop_following(self) -> None:
        """Queries the store again."""


class ReadExchange(abc.ABC):
    """Passes on what this router reads, and to its watches what other routers read."""

    @property
    @abc.abstractmethod
    def is_reader(self) -> bool:
        """Whether this router reads for others."""

    @abc.abstractmethod
    def add_watch(self, watch: SharedWatch) -> None:
        """Adds a watch; there is one for each kind."""

    @abc.abstractmethod
    def record_listing(
        self, kind: str, version: store_versions.StoreVersion, queried_at: float
    ) -> None:
        """Records that this router has listed the objects of a kind."""

    @abc.abstractmethod
    def record_changes(
        self,
        kind: str,
        since: store_versions.StoreVersion,
        changes: store_format.Changes,
        queried_at: float,
    ) -> None:
        """Records that a watch query of this router was answered.

        Args:
            kind: The kind.
            since: Version after which the answer begins.
            changes: The answer.
            queried_at: Time just before the query was sent, on the clock of the watch.
        """
