"""Service base class, registry of names, mailboxes and supervision."""
