"""What the clients of a process may make it hold, by its machine's limits."""

import resource

import msgspec

BYTES_PER_MIB = 1024 * 1024
# For a process whose settings do not state them.
DEFAULT_MEMORY_BYTES = 300 * BYTES_PER_MIB
DEFAULT_DESCRIPTORS = 4096
# The code, the knowledge of a large deployment, and requests at servers.
OWN_MEMORY_BYTES = 96 * BYTES_PER_MIB
# What clients get at least of a small memory.
MIN_CLIENT_SHARE = 0.25
# Of the memory for clients: bodies, responses and what is read ahead. A body
# is copied once as it is put together, hence not more.
HELD_SHARE = 0.625
# Of the own memory. The longest message of another VM has some MB.
PEER_HELD_SHARE = 0.25
# Of the memory for clients: the tasks, parsers and buffers of connections.
CONNECTION_SHARE = 0.25
# A connection with an incomplete head.
CONNECTION_BYTES = 32 * 1024
# Files that the interpreter and the libraries open.
FILE_DESCRIPTORS = 200
# Of the other descriptors. The rest is for servers, other VMs and the store.
CLIENT_DESCRIPTOR_SHARE = 0.4
PEER_DESCRIPTOR_SHARE = 0.125
TUNNEL_DESCRIPTOR_SHARE = 0.2
DESCRIPTORS_PER_TUNNEL = 2
SIDE_DESCRIPTOR_SHARE = 0.03
MIN_CONNECTIONS = 8


class ClientLimits(msgspec.Struct, frozen=True):
    """Limits on all clients of a process together.

    Attributes
    ----------
    held_bytes : int
        Bodies of requests, responses that are not yet written, and requests
        that are sent ahead.
    peer_held_bytes : int
        The same, of requests from other VMs.
    connections : int
        Open connections to the address for requests.
    side_connections : int
        Open connections to each other address, such as that for readiness.
    peer_connections : int
        Open connections from other VMs.
    tunnels : int
        Open tunnels from other VMs to servers.
    """

    held_bytes: int
    peer_held_bytes: int
    connections: int
    side_connections: int
    peer_connections: int
    tunnels: int


def compute_client_limits(
    memory_bytes: int = DEFAULT_MEMORY_BYTES,
    descriptors: int = DEFAULT_DESCRIPTORS,
) -> ClientLimits:
    """Return the limits of a process.

    Parameters
    ----------
    memory_bytes : int
        What the process may use.
    descriptors : int
        How many descriptors it may have open, files included.
    """
    client_bytes = max(
        memory_bytes - OWN_MEMORY_BYTES, memory_bytes * MIN_CLIENT_SHARE
    )
    own_bytes = memory_bytes - client_bytes
    sockets = max(_count_descriptors(descriptors) - FILE_DESCRIPTORS, 0)
    by_memory = int(client_bytes * CONNECTION_SHARE / CONNECTION_BYTES)
    return ClientLimits(
        held_bytes=int(client_bytes * HELD_SHARE),
        peer_held_bytes=int(own_bytes * PEER_HELD_SHARE),
        connections=_limit(sockets * CLIENT_DESCRIPTOR_SHARE, by_memory),
        side_connections=_limit(sockets * SIDE_DESCRIPTOR_SHARE, by_memory),
        peer_connections=_limit(sockets * PEER_DESCRIPTOR_SHARE, by_memory),
        tunnels=int(
            sockets * TUNNEL_DESCRIPTOR_SHARE / DESCRIPTORS_PER_TUNNEL
        ),
    )


def _count_descriptors(descriptors: int) -> int:
    """Return how many descriptors the system and the settings allow."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return descriptors
    return min(soft_limit, descriptors)


def _limit(by_descriptors: float, by_memory: int) -> int:
    return max(min(int(by_descriptors), by_memory), MIN_CONNECTIONS)
