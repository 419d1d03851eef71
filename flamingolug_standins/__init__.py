"""Emulated backend servers, stores and relays for tests and experiments."""
