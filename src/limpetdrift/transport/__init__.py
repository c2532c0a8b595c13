"""HTTP over trio: a server, a pooling client, and their messages."""
