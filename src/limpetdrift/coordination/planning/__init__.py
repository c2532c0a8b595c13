"""Gets prompts and calls planned, by this entry or by a peer.

Decides which entry plans, and keeps its books: plans in force, permits, loads
of other groups. Which engines a plan names is decided in ``engines``, and who
waits or is refused in ``scheduling``.
"""
