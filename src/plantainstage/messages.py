"""Wire types of all protocols."""

from plantainstage._messages import callers, configuration, control, forward, upstreams

__all__ = ["callers", "configuration", "control", "forward", "upstreams"]
