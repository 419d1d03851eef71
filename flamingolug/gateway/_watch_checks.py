"""How long a lost change of the configuration may go unnoticed.

A watch whose response was lost looks like one that nothing has answered yet. A
check is a watch that does not wait, on another connection: it returns what the
waiting one should have returned. Checks are calls to the store, so only nodes
in use make them, and nodes with links need fewer: every node passes on the
version of the configuration on its links, so the nodes of a fleet check the
store for each other.
"""

#: Longest wait of a watch, seconds; slightly below the maximum of the store.
LONGEST_WAIT_S = 28.0
#: Seconds until a request finds that a check is due, and for the check itself
#: on a slow store and a busy machine.
CHECK_DURATION_S = 0.6
#: Shortest interval between checks, seconds.
SHORTEST_INTERVAL_S = 0.5
#: Links on which data arrives, from which on a node relies on its peers too.
MIN_LIVE_LINKS = 2
#: Linked nodes that together check the store as often as one without links.
NODES_PER_CHECK = 4


def check_interval_s(
    detection_s: float, live_links: int, node_count: int
) -> float:
    """Returns the seconds between checks of the configuration.

    Args:
        detection_s: seconds within which a lost response must be noticed.
        live_links: number of links of this node on which data arrives.
        node_count: number of nodes in the fleet.
    """
    interval_s = max(detection_s - CHECK_DURATION_S, SHORTEST_INTERVAL_S)
    if live_links < MIN_LIVE_LINKS:
        return interval_s
    return interval_s * max(node_count / NODES_PER_CHECK, 1.0)
