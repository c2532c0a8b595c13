"""Brings engines to the state that the configuration asks for.

Decides which orders they get, under one lease for each group of them. It sends
no request of a caller.
"""
