"""Small stand-ins for the platform, engines and plain services.

Each stand-in is a process with its own command. It records what it ran;
tests compare these records with what the callers and daemons report.
"""
