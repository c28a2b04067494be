"""The settings file of a running process, which may change with or without a signal."""

import structlog

from cicadapier._internal.models import documents
from cicadapier._internal.models import exceptions
from cicadapier._internal.models import settings

_log = structlog.get_logger()


class SettingsFile:
    """Tells when the file has changed, and keeps to what was last good.

    Writers may replace the file at once or write it in several steps, so a change without a signal
    counts only once two reads in a row have found the same.

    Attributes:
        path: Path of the file.
    """

    def __init__(self, path: str) -> None:
        self.path = path
        self._handled: str | None = None
        self._unsettled: str | None = None

    def load(self) -> settings.Settings:
        """Reads and checks the file.

        Raises:
            InvalidDocumentError: The file is invalid; the error lists the faults with their lines.
        """
        text = documents.read_text(self.path)
        self._handled = text
        return settings.parse(text, self.path)

    def reload(self) -> settings.Settings | None:
        """Reads the file after a signal that it has changed; returns None if it is invalid."""
        self._unsettled = None
        try:
            return self.load()
        except exceptions.InvalidDocumentError as exc:
            _log.error("settings_not_reloaded", reason=str(exc))
            return None

    @property
    def is_unsettled(self) -> bool:
        """Whether the latest check found a change that a further one has to confirm."""
        return self._unsettled is not None

    def check(self) -> settings.Settings | None:
        """Looks for a change without a signal.

        Returns:
            The changed settings; None if nothing has changed, or not for certain yet, or if the
            file is invalid.
        """
        text = self._read()
        if text is None or text == self._handled:
            self._unsettled = None
            return None
        if text != self._unsettled:
            self._unsettled = text
            return None
        return self.reload()

    def _read(self) -> str | None:
        """Returns the text of the file; None if it can't be read, which is logged once."""
        try:
            return documents.read_text(self.path)
        except exceptions.InvalidDocumentError as exc:
            if self._handled is not None:
                _log.error("settings_not_reloaded", reason=str(exc))
            self._handled = None
            return None
