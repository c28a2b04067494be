"""Format of the documents that a router watches in the store and that others write."""

import abc
import dataclasses

from cicadapier._internal.models import configuration
from cicadapier._internal.models import directory_entries
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import store_format


@dataclasses.dataclass(frozen=True, slots=True)
class TargetVersion:
    """Target weights version that operators have set for a model."""

    model: ids.ModelId
    version: int


class DeclarationFormat(abc.ABC):
    """Format of the watched documents.

    Attributes:
        configuration_kind: Kind of the object that holds the configuration.
        configuration_name: Name of that object.
        directory_kind: Kind of the objects with which upstreams register.
        weights_kind: Kind of the objects that set the target weights of models.
    """

    configuration_kind: str
    configuration_name: str
    directory_kind: str
    weights_kind: str

    @abc.abstractmethod
    def read_configuration(
        self, item: store_format.StoredObject
    ) -> configuration.NumberedConfiguration:
        """Returns the configuration in an object.

        Raises:
            InvalidDocumentError: The object does not have the format of a configuration.
        """

    @abc.abstractmethod
    def read_registration(self, item: store_format.StoredObject) -> directory_entries.Entry:
        """Returns the directory entry of an upstream."""

    @abc.abstractmethod
    def read_target_version(self, item: store_format.StoredObject) -> TargetVersion | None:
        """Returns the target weights of a model; None if the object does not contain them."""
