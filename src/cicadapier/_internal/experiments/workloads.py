"""Synthetic traces that resemble the traffic of the users.

Larkspur: all manuscripts share a long style sheet as prefix, and several short questions share the
prefix of each manuscript. There are also drafts of grant letters, and whole manuscripts as batch
requests. Andino: a hot classification preamble is the prefix of short device scans by technicians,
which are latency-sensitive; audit summaries of sites are batch requests.
"""

import collections.abc
import dataclasses
import random

from cicadapier._internal.experiments import traces
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.standins import deployments

_INTERACTIVE = configuration.ServiceClass.INTERACTIVE
_BATCH = configuration.ServiceClass.BATCH


@dataclasses.dataclass(frozen=True, slots=True)
class WorkloadOptions:
    """Options of a workload.

    Attributes:
        duration_s: Duration of the trace.
        load: Factor on the request rates, except the flood's; with 1 the clairvoyant policy uses
            70 % of the prefill capacity.
        shift_at_s: Time from which a different hot prefix is used, or None.
        shift_share: Share of the requests with a hot prefix that use the new one from then on.
        flood_account: Account that floods the routers with requests, if any.
        flood_rate_per_s: Requests per second of the flooding account.
        flood_from_s: Time at which the flood begins.
    """

    duration_s: float = 60.0
    load: float = 1.0
    shift_at_s: float | None = None
    shift_share: float = 0.9
    flood_account: ids.AccountId | None = None
    flood_rate_per_s: float = 0.0
    flood_from_s: float = 0.0


def make_trace(
    name: deployments.DeploymentName, seed: int, options: WorkloadOptions
) -> list[traces.TraceRequest]:
    """Returns the requests of a trace, in order of arrival."""
    rng = random.Random(f"{name.value}/{seed}")
    maker = (
        _LarkspurTraceMaker if name is deployments.DeploymentName.LARKSPUR else _AndinoTraceMaker
    )
    generated = maker(rng, options).requests()
    requests = [req for req in generated if req.at < options.duration_s]
    if options.flood_account:
        requests.extend(_flood(random.Random(f"flood/{seed}"), options, options.flood_account))
    return sorted(requests, key=lambda req: req.at)


def _flood(
    rng: random.Random, options: WorkloadOptions, account: ids.AccountId
) -> collections.abc.Iterator[traces.TraceRequest]:
    at = options.flood_from_s
    while at < options.duration_s:
        at += rng.expovariate(options.flood_rate_per_s)
        pieces, total = traces.split_into_pieces(account, [traces.Segment("flood", 300)])
        yield traces.TraceRequest(at, account, _INTERACTIVE, pieces, total, 8)


class _TraceMaker:
    """Base of the generators of synthetic requests."""

    def __init__(self, rng: random.Random, options: WorkloadOptions) -> None:
        self._rng = rng
        self._options = options
        self._name_count = 0

    def _unique_name(self, kind: str) -> str:
        self._name_count += 1
        return f"{kind}-{self._name_count}"

    def _arrivals(self, requests_per_s: float) -> collections.abc.Iterator[float]:
        at = 0.0
        while True:
            at += self._rng.expovariate(requests_per_s * self._options.load)
            if at >= self._options.duration_s:
                return
            yield at

    def _request(
        self,
        at: float,
        account: str,
        service_class: configuration.ServiceClass,
        segments: list[traces.Segment],
        output_tokens: int,
    ) -> traces.TraceRequest:
        pieces, total = traces.split_into_pieces(account, segments)
        return traces.TraceRequest(
            at, ids.AccountId(account), service_class, pieces, total, output_tokens
        )


class _LarkspurTraceMaker(_TraceMaker):
    """Generates sessions of editors, drafts of poets, and whole manuscripts as batch requests."""

    SESSIONS_PER_S = 3.6
    DRAFTS_PER_S = 3.0
    PROOFS_PER_S = 0.5

    def requests(self) -> collections.abc.Iterator[traces.TraceRequest]:
        """Yields all requests, in no particular order."""
        for at in self._arrivals(self.SESSIONS_PER_S):
            yield from self._session(at)
        for at in self._arrivals(self.DRAFTS_PER_S):
            yield from self._drafts(at)
        for at in self._arrivals(self.PROOFS_PER_S):
            account = self._rng.choice(("proofs", "archive"))
            segments = [self._style_sheet(at), self._manuscript()]
            yield self._request(at, account, _BATCH, segments, self._rng.randint(150, 300))

    def _style_sheet(self, at: float) -> traces.Segment:
        shift_at = self._options.shift_at_s
        shifted = shift_at is not None and at >= shift_at
        if shifted and self._rng.random() < self._options.shift_share:
            return traces.Segment("style-new", 12_500)
        return traces.Segment("style-house", 12_500)

    def _manuscript(self) -> traces.Segment:
        return traces.Segment(self._unique_name("manuscript"), self._rng.randint(4_000, 14_000))

    def _session(self, at: float) -> collections.abc.Iterator[traces.TraceRequest]:
        account = self._rng.choices(("editors", "catalogue", "rights"), (8, 1, 1))[0]
        shared_segments = [self._style_sheet(at), self._manuscript()]
        for _ in range(self._rng.randint(4, 10)):
            question = traces.Segment(self._unique_name("question"), self._rng.randint(30, 250))
            output_tokens = self._rng.randint(16, 60)
            yield self._request(
                at, account, _INTERACTIVE, [*shared_segments, question], output_tokens
            )
            at += 1.5 + self._rng.expovariate(1 / 2.5)

    def _drafts(self, at: float) -> collections.abc.Iterator[traces.TraceRequest]:
        account = self._rng.choices(("poets", "grants"), (3, 1))[0]
        draft = traces.Segment(self._unique_name("draft"), self._rng.randint(300, 1_500))
        for _ in range(self._rng.randint(1, 3)):
            instruction = traces.Segment(self._unique_name("wish"), self._rng.randint(20, 80))
            segments = [traces.Segment("grant-guide", 4_300), draft, instruction]
            output_tokens = self._rng.randint(60, 120)
            yield self._request(at, account, _INTERACTIVE, segments, output_tokens)
            at += 3.0 + self._rng.expovariate(1 / 4.0)


class _AndinoTraceMaker(_TraceMaker):
    """Generates scans of technicians, and audit summaries as batch requests."""

    SCANS_PER_S = 48.0
    AUDITS_PER_S = 1.3

    def requests(self) -> collections.abc.Iterator[traces.TraceRequest]:
        """Yields all requests, in no particular order."""
        for at in self._arrivals(self.SCANS_PER_S):
            account = self._rng.choices(
                ("technicians", "schools", "clinics", "cooperatives"), (7, 1, 1, 1)
            )[0]
            scan = traces.Segment(self._unique_name("scan"), self._rng.randint(150, 600))
            segments = [self._preamble(at), scan]
            yield self._request(at, account, _INTERACTIVE, segments, self._rng.randint(6, 16))
        for at in self._arrivals(self.AUDITS_PER_S):
            yield from self._audit(at)

    def _preamble(self, at: float) -> traces.Segment:
        shift_at = self._options.shift_at_s
        shifted = shift_at is not None and at >= shift_at
        if shifted and self._rng.random() < self._options.shift_share:
            return traces.Segment("preamble-new", 6_200)
        return traces.Segment("preamble", 6_200)

    def _audit(self, at: float) -> collections.abc.Iterator[traces.TraceRequest]:
        account = self._rng.choices(("auditors", "reports"), (3, 1))[0]
        site = traces.Segment(self._unique_name("site"), self._rng.randint(5_000, 14_000))
        guide = traces.Segment("audit-guide", 2_300)
        for _ in range(self._rng.randint(1, 3)):
            instruction = traces.Segment(self._unique_name("wish"), self._rng.randint(30, 120))
            output_tokens = self._rng.randint(150, 400)
            yield self._request(at, account, _BATCH, [guide, site, instruction], output_tokens)
            at += 5.0 + self._rng.expovariate(1 / 5.0)
