"""Names, formats and calls of the users' platform. Nothing here decides anything."""
