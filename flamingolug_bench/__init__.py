"""Experiments with nodes and servers that run as processes on one machine."""
