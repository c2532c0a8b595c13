"""Coordination of entries: placement, limits, membership and recovery."""
