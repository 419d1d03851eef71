"""Experiments on real processes of one machine."""
