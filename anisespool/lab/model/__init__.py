"""The simulated fleet: clients, sidecars with the real decision module, network, endpoints and faults."""
