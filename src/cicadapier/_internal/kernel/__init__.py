"""Base class of services, their mailboxes, and the kernel that runs them and finds them by name."""
