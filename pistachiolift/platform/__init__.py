"""Adapter to the users' platform: wire formats, and nothing that decides."""
