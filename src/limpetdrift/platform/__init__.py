"""The adapter to the users' platform.

It alone knows the names that the platform uses on the wire, in its settings
and in its store. Each module decodes one part into the project's own types.
"""
