"""Format of the calls with which a router updates the weights of an engine."""

import abc

from cicadapier._internal.decisions import rollout
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import answers
from cicadapier._internal.protocols import http_client


class EngineFormat(abc.ABC):
    """Format of the calls to an engine."""

    @abc.abstractmethod
    def make_report_request(self) -> http_client.RequestHead:
        """Returns the request for the status report of an engine."""

    @abc.abstractmethod
    def read_report(self, body: bytes, model: ids.ModelId) -> rollout.EngineReport | None:
        """Returns the status report in a body; None if it is invalid or lacks the model."""

    @abc.abstractmethod
    def read_incarnation(self, body: bytes, upstream: ids.UpstreamId) -> ids.Incarnation | None:
        """Returns the incarnation that sent a status report; None if the report does not say."""

    @abc.abstractmethod
    def make_order_head(self, upstream: ids.UpstreamId) -> http_client.RequestHead:
        """Returns the head of a load order to an engine."""

    @abc.abstractmethod
    def make_order_body(self, order: rollout.LoadOrder) -> bytes:
        """Returns the body of a load order."""

    @abc.abstractmethod
    def is_leaving(self, head: http_client.ResponseHead) -> bool:
        """Returns whether an engine reports with an answer that it is leaving."""

    @abc.abstractmethod
    def read_rate_limit(self, head: http_client.ResponseHead) -> answers.RateLimit | None:
        """Returns the rate limit that an engine announces with an answer, if any."""

    @abc.abstractmethod
    def read_reply(self, head: http_client.ResponseHead) -> rollout.Reply:
        """Returns the reply of an engine to a load order."""
