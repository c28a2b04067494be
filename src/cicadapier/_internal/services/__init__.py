"""Services: long-running tasks that own sockets and state and exchange messages."""
