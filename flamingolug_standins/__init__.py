"""Emulated backend servers, stores and relays for tests and experiments.

`sealing_server`, `leased_store` and `documents` emulate the users' platform, to
which `flamingolug.platform` is the adapter; `flamingolug.launcher` runs nodes
with it. `backend` and `store_program` are for nodes that `flamingolug.node`
runs.
"""
