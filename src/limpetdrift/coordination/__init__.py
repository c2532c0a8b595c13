"""Coordination of entries: placement, limits, membership and recovery.

Each package holds one concern, and its docstring says what it decides. What
several need is here: calls to peers, replicated records, rendezvous hashing.
"""
