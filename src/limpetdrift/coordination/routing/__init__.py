"""Routes and endpoints from the store, read by a few entries for all.

Decides which entries read, and merges what peers relay. It never decides where
a request goes.
"""
