"""Exit codes that the programs share."""

BAD_SETTINGS_EXIT = 2
