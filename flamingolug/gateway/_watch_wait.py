"""How long a watch of the store waits for a change.

A watch whose response was lost looks like one that nothing has answered yet,
so the wait is the time for which a loss goes unnoticed. Each further watch is a
call to the store. Nodes with links need fewer: every node passes on the version
of the configuration and the latest revision of the entries on its links, so the
nodes of a fleet check the store for each other.
"""

#: Longest wait, seconds; slightly below the maximum of the store.
LONGEST_WAIT_S = 28.0
#: Shortest wait, seconds.
SHORTEST_WAIT_S = 0.5
#: Seconds from the end of the wait to the next answer if the response is lost:
#: the time-out of the call, the wait after a first failure, and the delay of a
#: busy machine.
RETRY_S = 1.8
#: Links on which data arrives, from which on a node relies on its peers too.
MIN_LIVE_LINKS = 2
#: Linked nodes that together check the store as often as one without links.
NODES_PER_CHECK = 4
#: Wait of a node without links for a change of the entries, seconds. The gate
#: of an upstream refuses calls that an outdated entry causes.
UNLINKED_ENTRIES_WAIT_S = 8.0


def configuration_wait_s(
    detection_s: float, live_links: int, node_count: int
) -> float:
    """Returns the wait for a change of the configuration, seconds.

    Args:
        detection_s: seconds within which a lost response must be noticed.
        live_links: number of links of this node on which data arrives.
        node_count: number of nodes in the fleet.
    """
    wait_s = max(detection_s - RETRY_S, SHORTEST_WAIT_S)
    if live_links < MIN_LIVE_LINKS:
        return wait_s
    return min(wait_s * max(node_count / NODES_PER_CHECK, 1.0), LONGEST_WAIT_S)


def entries_wait_s(live_links: int) -> float:
    """Returns the wait for a change of the entries of upstreams, seconds."""
    if live_links < MIN_LIVE_LINKS:
        return UNLINKED_ENTRIES_WAIT_S
    return LONGEST_WAIT_S
