"""The reported state of a backend server."""

import msgspec


class ServerReport(msgspec.Struct, frozen=True):
    """The reported state of a backend server.

    A conductor process that monitors the server writes it to the replicated
    records. If the platform lists the servers, it comes from that list.

    Attributes
    ----------
    service : str
        The model or plain service that it serves.
    state : str
        ``live``; ``leaving`` if it accepts no new requests; ``down`` if it
        cannot be reached; ``gone`` if it is to be removed.
    weight_version : int
        The active version that an engine last reported; 0 if not known.
    staged_version : int
        The newest version that an engine can activate immediately.
    load : float
        The load of an engine, smoothed and rounded; 1 means at capacity.
    listed_service : str
        The service according to the platform's list of servers or VMs.
    model_versions : dict of str to int
        The weight version of each model, for an engine with several models.
    slots : int
        The number of requests that it runs concurrently; 0 if not known.
    born_ms : int
        The start time in Unix milliseconds; 0 if not known. A server of the
        same name with another start time has lost its earlier state.
    software : str
        The version of its software; empty if not known.
    is_spot : bool
        Whether the platform may take it away at short notice.
    leaves_seconds : float
        The time until the platform takes it away, in seconds, when it was
        reported; 0 if not known.
    """

    name: str
    address: str
    service: str
    data_center: str
    region: str = ''
    state: str = 'live'
    weight_version: int = 0
    staged_version: int = 0
    load: float = 0.0
    listed_service: str = ''
    model_versions: dict[str, int] = {}
    slots: int = 0
    born_ms: int = 0
    software: str = ''
    is_spot: bool = False
    leaves_seconds: float = 0.0
