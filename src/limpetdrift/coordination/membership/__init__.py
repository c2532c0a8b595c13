"""Which entries live, which are suspect, leaving or cut off.

Decides from gossip, from the outcomes of calls and from the instance list. It
is a hint: no promise depends on two entries having the same view.
"""
