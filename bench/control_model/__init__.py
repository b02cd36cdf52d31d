"""The real control replicas and entry hosts in virtual time, on a simulated network."""
