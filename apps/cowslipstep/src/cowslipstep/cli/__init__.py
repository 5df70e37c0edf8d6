"""Operators' command-line tool."""
