"""The operator API on every entry: configuration, status and quarantine.

It reads requests of operators and answers from the state that other packages
keep. It decides nothing about requests of callers.
"""
