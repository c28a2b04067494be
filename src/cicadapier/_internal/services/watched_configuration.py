"""Configuration service of a router that watches a configuration written by others."""

import math
import random
from typing import Protocol

import structlog
import trio

from cicadapier._internal.decisions import freshness
from cicadapier._internal.kernel import service
from cicadapier._internal.models import exceptions as model_exceptions
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.models import store_versions
from cicadapier._internal.protocols import declarations
from cicadapier._internal.protocols import store_format
from cicadapier._internal.services import configuration_source
from cicadapier._internal.services import fresh_answers
from cicadapier._internal.services import names
from cicadapier._internal.services import telemetry_service
from cicadapier._internal.services import watching

# The three constants are shares of the time within which a revoked key must stop working.

# Longest wait of a watch query. An answer proves that the configuration was the newest when the
# query was sent, so the proof is up to twice this old when the next answer arrives. If one answer
# is lost, the proof is still younger than the maximum age below.
WATCH_WAIT_SHARE = 0.3
# The same on a router that reads for others.
READER_WAIT_SHARE = 0.15
# Maximum age of the proof. Requests with keys are refused if the proof is older.
PROOF_MAX_AGE_SHARE = 0.8

PROOF_TIMEOUT_S = 1.0
LIST_WITHIN_S = 0.05  # Keys are refused while there is no proof.

_log = structlog.get_logger()


class ConfigurationListener(Protocol):
    """The service that combines the configured pools with the registered upstreams."""

    def handle_configuration_change(self) -> None:
        """Called after another configuration has come into force."""


class WatchedConfiguration(configuration_source.ConfigurationSource, watching.WatchHandler):
    """Holds the newest configuration from the store and the proof of its freshness."""

    is_gossiped = False

    def __init__(
        self,
        declaration_format: declarations.DeclarationFormat,
        revoke_s: float,
        clock: watching.Clock,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self._declaration_format = declaration_format
        self._watch_options = _watch_options(revoke_s)
        self._watch: watching.Watch | None = None
        self._proof = freshness.Freshness(revoke_s * PROOF_MAX_AGE_SHARE, revoke_s)
        self._peer_numbers = freshness.PeerNumbers(clock())
        self._proof_due = trio.Event()
        self._prove_until = -math.inf
        self._clock = clock
        self._rng = rng
        self._kernel: service.Kernel | None = None
        self._fresh_answers: fresh_answers.FreshAnswers | None = None

    async def run(self, kernel: service.Kernel, task_status: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        self._kernel = kernel
        kind = self._declaration_format.configuration_kind
        platform = kernel.find(names.PLATFORM)
        watch = watching.Watch(platform, kind, self._watch_options, self, self._clock, self._rng)
        self._watch = watch
        self._fresh_answers = fresh_answers.FreshAnswers(watch.confirm)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._fresh_answers.run)
            nursery.start_soon(watch.run)
            nursery.start_soon(self._prove_when_due)
            task_status.started()

    def reload(self, cfg: settings.Settings) -> None:
        """See `service.Service.reload`."""
        if cfg.forwarding is None:
            return
        revoke_s = cfg.forwarding.revoke_ms / 1000
        former_wait_s = self._watch_options.wait_s
        self._watch_options = _watch_options(revoke_s)
        self._proof.set_bounds(revoke_s * PROOF_MAX_AGE_SHARE, revoke_s)
        if self._watch and self._watch_options.wait_s < former_wait_s:
            # The query under way waits by the former time, and the proof may be too old by then.
            self._prove_until = self._clock() + former_wait_s
            self._proof_due.set()
        if self._watch:
            self._watch.set_options(self._watch_options)

    async def _prove_when_due(self) -> None:
        """Asks the store for a proof as soon as its answers are proofs."""
        while True:
            await self._proof_due.wait()
            self._proof_due = trio.Event()
            await trio.sleep(max(0.0, self._proof.proves_from - self._clock()))
            await self.confirm(PROOF_TIMEOUT_S)
            while self._clock() < self._prove_until:
                await trio.sleep(self._watch_options.wait_s)
                await self.confirm(PROOF_TIMEOUT_S)

    async def confirm(self, timeout_s: float) -> bool:
        """Asks the store for the newest configuration.

        Args:
            timeout_s: Longest wait.

        Returns:
            Whether the configuration in force is the newest that the store had at the call.
        """
        return self._fresh_answers is not None and await self._fresh_answers.wait(timeout_s)

    @property
    def proof_age_s(self) -> float:
        """Age of the proof of freshness; infinite without one."""
        return self._proof.age_s(self._clock())

    @property
    def has_fresh_proof(self) -> bool:
        """Whether keys may be accepted.

        The proof has to be younger than its maximum age, and no peer may know a newer configuration
        that a restored store has lost.
        """
        now = self._clock()
        if self._peer_numbers.know_better(self.current.number, now):
            return False
        return self._proof.is_fresh(now)

    def record_peer_number(self, number: ids.ConfigNumber, source: str) -> None:
        """See `ConfigurationSource.record_peer_number`."""
        now = self._clock()
        is_news = self._peer_numbers.record(number)
        if is_news and self._peer_numbers.know_better(self.current.number, now):
            _log.info("peer_has_newer_configuration", number=number, peer=source)

    def begin_epoch(self, change: store_versions.EpochChange) -> None:
        """See `watching.WatchHandler.begin_epoch`."""
        now = self._clock()
        self._peer_numbers.begin_epoch(now)
        if not self._proof.begin_epoch(now):
            self._proof_due.set()
        _log.info(
            "configuration_kept",
            epoch=change.epoch,
            number=self.current.number,
            proof_age_s=round(self.proof_age_s, 2),
        )

    def record_answer(self, queried_at: float) -> None:
        """See `watching.WatchHandler.record_answer`."""
        self._proof.record_proof(queried_at)

    def handle_listing(self, objects: tuple[store_format.StoredObject, ...]) -> None:
        """See `watching.WatchHandler.handle_listing`."""
        for item in objects:
            self._apply_object(item)

    def handle_change(self, change: store_format.Change) -> None:
        """See `watching.WatchHandler.handle_change`."""
        if not change.deleted:
            self._apply_object(change.object)

    def packed_update(self, since: ids.ConfigNumber) -> tuple[ids.ConfigNumber, bytes] | None:
        """See `ConfigurationSource.packed_update`.

        There are no updates between peers, because watching the store is faster.
        """
        return None

    def apply_packed_update(self, number: ids.ConfigNumber, packed: bytes) -> None:
        """See `ConfigurationSource.apply_packed_update`."""
        return

    def _apply_object(self, item: store_format.StoredObject) -> None:
        if item.name != self._declaration_format.configuration_name:
            return
        try:
            candidate = self._declaration_format.read_configuration(item)
        except model_exceptions.InvalidDocumentError as exc:
            _log.error("configuration_invalid", version=item.version.revision, reason=str(exc))
            return
        if candidate.number <= self.current.number:
            _log.info("configuration_ignored", number=candidate.number, current=self.current.number)
            return
        self.current = candidate
        self.ready.set()
        configuration_source.log_in_force(candidate, version=item.version.revision)
        if self._kernel:
            telemetry: telemetry_service.TelemetryService = self._kernel.find(names.TELEMETRY)
            telemetry.record_keys(candidate.key_policy, len(candidate.accounts_by_key_hash))
            listener: ConfigurationListener = self._kernel.find(names.UPSTREAMS)
            listener.handle_configuration_change()


def _watch_options(revoke_s: float) -> watching.WatchOptions:
    """Returns how often the store is asked if a revoked key has to stop working within a time."""
    return watching.WatchOptions(
        revoke_s * WATCH_WAIT_SHARE,
        list_within_s=LIST_WITHIN_S,
        reader_wait_s=revoke_s * READER_WAIT_SHARE,
    )
