"""The adapter to the users' platform.

The names that the platform uses on the wire, in its settings and in its store
occur only in this package. Each module decodes one kind of input into the
project's own types, so that the core does not depend on the platform.
"""
