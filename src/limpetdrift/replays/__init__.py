"""Plays loads on model engines in virtual time, and compares policies.

Entries run the product's own decisions; engines follow their published law.
"""
