"""Upstreams that say in their answers that they fall over when they reject too many requests."""

import random
from typing import Protocol

import structlog

from cicadapier._internal.decisions import brittle_upstreams
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import answers
from cicadapier._internal.services import telemetry_service

_log = structlog.get_logger()


class RouterCounter(Protocol):
    """Interface of the service that knows the other routers."""

    def router_count(self) -> int:
        """Returns the number of routers that serve, including this one."""


class KnownBrittleness:
    """What this router has heard from upstreams of the rejections that they bear."""

    def __init__(self, rng: random.Random) -> None:
        """Creates the record without any upstream.

        Args:
            rng: Source of the random parts of intervals.
        """
        self._rng = rng
        self._brittle = brittle_upstreams.BrittleUpstreams()
        self._routers: RouterCounter | None = None
        self._telemetry: telemetry_service.TelemetryService | None = None

    def set_services(
        self, routers: RouterCounter, telemetry: telemetry_service.TelemetryService
    ) -> None:
        """Sets the services that it needs; before this call, no upstream is spared."""
        self._routers = routers
        self._telemetry = telemetry

    def retain(self, upstreams: frozenset[ids.UpstreamId]) -> None:
        """Forgets all other upstreams."""
        self._brittle.retain(upstreams)

    def record_answer(
        self, upstream: ids.UpstreamId, incarnation: ids.Incarnation, facts: answers.AnswerFacts
    ) -> bool:
        """Records what an answer says of the rejections that an upstream bears.

        Args:
            upstream: The upstream.
            incarnation: Its incarnation.
            facts: Metadata of the answer.

        Returns:
            Whether the upstream was brittle and is no more.
        """
        if facts.tolerance is not None:
            brittleness = brittle_upstreams.Brittleness(incarnation, facts.tolerance.per_s)
            if self._brittle.record(upstream, brittleness):
                _log.info(
                    "upstream_brittle", upstream=upstream, rejections_per_s=facts.tolerance.per_s
                )
            return False
        # Refusals may come from something in between that does not repeat the header.
        has_ended = facts.genuine and not facts.not_run
        if not has_ended or not self._brittle.remove(upstream, incarnation):
            return False
        _log.info("upstream_not_brittle", upstream=upstream)
        return True

    def find_interval(
        self, upstream: ids.UpstreamId, incarnation: ids.Incarnation, facts: answers.AnswerFacts
    ) -> float | None:
        """Returns the time in seconds until one more request is tried after a rejection.

        None if the answer is no rejection for want of room, or the upstream is not brittle.
        """
        if not facts.not_run or facts.misdirected or _states_room(facts.load):
            return None
        return self._choose_interval(upstream, incarnation)

    def _choose_interval(
        self, upstream: ids.UpstreamId, incarnation: ids.Incarnation
    ) -> float | None:
        brittleness = self._brittle.find(upstream, incarnation)
        if brittleness is None or self._routers is None:
            return None
        if self._telemetry:
            self._telemetry.count_event("brittle_rejection")
        return brittle_upstreams.try_interval_s(
            brittleness.per_s, self._routers.router_count(), self._rng.random()
        )


def _states_room(load: answers.ReportedLoad | None) -> bool:
    """Returns whether a rejection had another cause than want of room, as far as is stated."""
    if load is None or load.running is None or load.slots is None:
        return False
    return load.running < load.slots and (load.waiting or 0) == 0
