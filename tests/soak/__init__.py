"""Soak test: real entry processes under random load and random faults."""
