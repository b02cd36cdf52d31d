"""Raft consensus between the control replicas."""
