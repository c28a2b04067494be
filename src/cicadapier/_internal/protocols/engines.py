"""Calls by which a router controls an engine's weights."""

import abc

from cicadapier._internal.decisions import rollout
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import answers
from cicadapier._internal.protocols import http_client


class EngineFormat(abc.ABC):
    """Spelling of the calls to an engine."""

    @abc.abstractmethod
    def make_report_request(self) -> http_client.RequestHead:
        """Returns the call that asks an engine for its state."""

    @abc.abstractmethod
    def read_report(self, body: bytes, model: ids.ModelId) -> rollout.EngineReport | None:
        """Reads the answer; None where it does not tell of the model."""

    @abc.abstractmethod
    def make_order_head(self, upstream: ids.UpstreamId) -> http_client.RequestHead:
        """Returns the head of an order to one engine."""

    @abc.abstractmethod
    def make_order_body(self, order: rollout.LoadOrder) -> bytes:
        """Returns the body of an order."""

    @abc.abstractmethod
    def is_leaving(self, head: http_client.ResponseHead) -> bool:
        """Returns whether an engine says with an answer that it is leaving."""

    @abc.abstractmethod
    def read_rate_limit(self, head: http_client.ResponseHead) -> answers.RateLimit | None:
        """Returns the rate limit that an engine names with an answer, if any."""

    @abc.abstractmethod
    def read_reply(self, head: http_client.ResponseHead) -> rollout.Reply:
        """Reads the answer to an order."""
