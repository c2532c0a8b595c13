"""Defines the exit codes that the programs share."""

# The settings, or the input files and arguments, are invalid.
BAD_SETTINGS_EXIT = 2
# An unexpected error has ended the process.
FAILED_EXIT = 1
