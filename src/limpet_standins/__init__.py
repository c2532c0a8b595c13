"""Stand-ins for the platform and the back ends, for tests and demos only."""
