"""Wire types of the protocols of callers, searchers, entry hosts and control."""

from plantainstage._messages import callers, configuration, control, forward, upstreams

__all__ = ["callers", "configuration", "control", "forward", "upstreams"]
