"""Adapter to the users' platform: clients and wire formats, no scheduling logic."""
