"""Errors of the kernel."""


class KernelError(Exception):
    """Base class of the kernel's errors."""


class UnknownServiceError(KernelError):
    """No service is registered by this name."""


class MailboxFullError(KernelError):
    """A service does not keep up with the messages sent to it."""


class MailboxClosedError(KernelError):
    """The service has stopped and takes no more messages."""
