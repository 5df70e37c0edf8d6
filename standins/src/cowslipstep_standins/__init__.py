"""Small stand-ins for the platform, engines and plain services.

Each stand-in is a process with a command of its own and keeps its own
records, which tests compare with what the system says of itself.
"""
