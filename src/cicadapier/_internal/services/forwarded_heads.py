"""What the head of an upstream's answer says about its use for a forwarded request."""

import http

from cicadapier._internal.models import configuration
from cicadapier._internal.protocols import answers
from cicadapier._internal.protocols import event_stream
from cicadapier._internal.protocols import http_client


class HeadJudge:
    """Judges the heads of the answers to one request.

    Attributes:
        is_stream_route: Whether answers to the request are streams.
    """

    def __init__(self, kind: configuration.RouteKind) -> None:
        self.is_stream_route = kind is configuration.RouteKind.STREAM

    def is_stream(self, facts: answers.AnswerFacts, head: http_client.ResponseHead) -> bool:
        """Returns whether an answer is a stream whose events can be relayed."""
        has_stream = head.media_type in (None, event_stream.MEDIA_TYPE)
        is_success = head.status == http.HTTPStatus.OK and facts.genuine
        return self.is_stream_route and has_stream and is_success

    def can_take_over(self, facts: answers.AnswerFacts, head: http_client.ResponseHead) -> bool:
        """Returns whether the answer of a hedge may replace that of the silent attempt."""
        if self.is_stream_route:
            return self.is_stream(facts, head)
        return facts.genuine and head.status < http.HTTPStatus.INTERNAL_SERVER_ERROR

    def looks_like_rest(self, head: http_client.ResponseHead) -> bool:
        """Returns whether a caller that resumes its stream would take an answer for the rest."""
        return self.is_stream_route and head.status < http.HTTPStatus.MULTIPLE_CHOICES


def ends_empty_stream(head: http_client.ResponseHead) -> bool:
    """Returns whether an answer without events shows that its stream has ended.

    An upstream that breaks off behind the head may close the connection regularly.
    """
    return head.is_framed and head.media_type == event_stream.MEDIA_TYPE
