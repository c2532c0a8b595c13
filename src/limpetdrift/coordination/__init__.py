"""How instances act together: placement, limits, membership, recovery."""
