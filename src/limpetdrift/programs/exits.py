"""Defines the exit codes that the programs share."""

# The settings, or the input files and arguments, are invalid.
BAD_SETTINGS_EXIT = 2
