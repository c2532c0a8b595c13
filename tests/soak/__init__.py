"""A randomized soak of real entries, with faults from outside."""
