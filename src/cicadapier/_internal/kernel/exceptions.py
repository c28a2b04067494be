"""Errors of the kernel."""


class KernelError(Exception):
    """Base class of the errors of the kernel."""


class UnknownServiceError(KernelError):
    """No service is registered under this name."""


class MailboxFullError(KernelError):
    """The mailbox of a service is full because the service falls behind."""


class MailboxClosedError(KernelError):
    """The service has stopped and accepts no more messages."""
