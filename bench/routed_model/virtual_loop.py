"""An asyncio event loop whose virtual time advances to the next timer."""

import asyncio
import selectors


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances the virtual time instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("virtual time cannot advance: no timer is scheduled")
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs callbacks without waiting; times are virtual seconds."""

    def __init__(self):
        self.selector = _VirtualTimeSelector()
        super().__init__(self.selector)

    def time(self):
        """Returns the virtual time."""
        return self.selector.now
