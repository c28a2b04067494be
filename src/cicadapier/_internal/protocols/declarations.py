"""Documents that others write and a router watches, read into the project's own types."""

import abc
import dataclasses

from cicadapier._internal.models import configuration
from cicadapier._internal.models import directory_entries
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import store_format


@dataclasses.dataclass(frozen=True, slots=True)
class TargetVersion:
    """Weights version that operators have named for a model."""

    model: ids.ModelId
    version: int


class DeclarationFormat(abc.ABC):
    """Spelling of the watched documents.

    Attributes:
        configuration_kind: Kind of the object that holds the configuration.
        configuration_name: Its name.
        directory_kind: Kind under which upstreams register.
        weights_kind: Kind of the objects that name weights.
    """

    configuration_kind: str
    configuration_name: str
    directory_kind: str
    weights_kind: str

    @abc.abstractmethod
    def read_configuration(
        self, item: store_format.StoredObject
    ) -> configuration.NumberedConfiguration:
        """Reads the configuration.

        Raises:
            InvalidDocumentError: It is not of the published shape.
        """

    @abc.abstractmethod
    def read_registration(self, item: store_format.StoredObject) -> directory_entries.Entry:
        """Reads the registration of an upstream."""

    @abc.abstractmethod
    def read_target_version(self, item: store_format.StoredObject) -> TargetVersion | None:
        """Reads which weights were named; None where the object does not say."""
