"""Example deployments with the current sizes of the users' production deployments."""

import dataclasses
import enum
import hashlib

from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids


class DeploymentName(enum.Enum):
    """Deployments that the demonstration and the replay can simulate."""

    LARKSPUR = "larkspur"
    ANDINO = "andino"


@dataclasses.dataclass(frozen=True, slots=True)
class AccountSpec:
    """Service class, scheduling weight and limits of a client account."""

    account: ids.AccountId
    service_class: configuration.ServiceClass
    weight: float
    limits: configuration.Limits


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Sizes, pools and client accounts of a deployment.

    Attributes:
        domains: Failure domains, over which the VMs of each kind are spread in turn.
        routers: Number of router VMs.
        model_pool: Pool of the model engines.
        engines: Number of engines.
        model: Model that the engines serve.
        keep_pool: Pool of the keep, the external KV cache store.
        service_pool: Pool of the plain HTTP service.
        service_instances: Number of instances of the plain service.
        non_repeatable_path: Path of the plain service whose requests must not be repeated.
        loads_at_once: Maximum number of engines that load weights at the same time.
        accounts: Client accounts.
    """

    domains: tuple[ids.FailureDomainId, ...]
    routers: int
    model_pool: ids.PoolId
    engines: int
    model: ids.ModelId
    keep_pool: ids.PoolId
    service_pool: ids.PoolId
    service_instances: int
    non_repeatable_path: str
    loads_at_once: int
    accounts: tuple[AccountSpec, ...]

    def domain(self, index: int) -> ids.FailureDomainId:
        """Returns the failure domain of the VM with this index among the VMs of its kind."""
        return self.domains[index % len(self.domains)]


def _make_account(
    name: str,
    service_class: configuration.ServiceClass,
    weight: float = 1.0,
    requests_per_s: float = 200.0,
) -> AccountSpec:
    limits = configuration.Limits(requests_per_s, 2_000_000.0, 512)
    return AccountSpec(ids.AccountId(name), service_class, weight, limits)


_INTERACTIVE = configuration.ServiceClass.INTERACTIVE
_BATCH = configuration.ServiceClass.BATCH

LARKSPUR = Deployment(
    tuple(ids.FailureDomainId(f"fenmoor-{letter}") for letter in "abc"),
    4,
    ids.PoolId("quill-models"),
    9,
    ids.ModelId("quill-verse"),
    ids.PoolId("stylesheet-cache"),
    ids.PoolId("catalogue-desk"),
    3,
    "/orders",
    3,
    (
        _make_account("editors", _INTERACTIVE, 4.0),
        _make_account("poets", _INTERACTIVE, 2.0),
        _make_account("catalogue", _INTERACTIVE),
        _make_account("grants", _INTERACTIVE),
        _make_account("rights", _INTERACTIVE),
        _make_account("proofs", _BATCH),
        _make_account("archive", _BATCH),
        _make_account("audio", _BATCH),
    ),
)

ANDINO = Deployment(
    tuple(ids.FailureDomainId(f"quito-{name}") for name in ("norte", "centro", "sur")),
    4,
    ids.PoolId("lm-pool"),
    5,
    ids.ModelId("registro-lm"),
    ids.PoolId("prompt-keep"),
    ids.PoolId("ledger-app"),
    3,
    "/transfers",
    2,
    (
        _make_account("technicians", _INTERACTIVE, 4.0),
        _make_account("auditors", _BATCH, 2.0),
        _make_account("ledger", _INTERACTIVE),
        _make_account("schools", _INTERACTIVE),
        _make_account("clinics", _INTERACTIVE),
        _make_account("cooperatives", _INTERACTIVE),
        _make_account("reports", _BATCH),
        _make_account("archive", _BATCH),
    ),
)

BY_NAME = {DeploymentName.LARKSPUR: LARKSPUR, DeploymentName.ANDINO: ANDINO}


def account_key(account: ids.AccountId, seed: int) -> str:
    """Returns the API key of an account, derived from the account and the seed."""
    return f"sk-demo-{hashlib.sha256(f'{account}/{seed}'.encode()).hexdigest()[:24]}"
