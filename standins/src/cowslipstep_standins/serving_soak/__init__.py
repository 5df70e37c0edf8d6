"""Soak of serving daemons before runners in groups, as real processes."""
