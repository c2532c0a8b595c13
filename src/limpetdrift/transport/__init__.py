"""HTTP over trio: a server, a client with connection pools, messages."""
