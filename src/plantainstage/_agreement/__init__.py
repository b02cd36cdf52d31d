"""Agreement between the control replicas."""
