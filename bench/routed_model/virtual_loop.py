"""An asyncio event loop whose clock jumps to the next timer."""

import asyncio
import selectors


class _VirtualTimeSelector(selectors.SelectSelector):
    """Moves the clock instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("no timer is left, so that nothing can happen any more")
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs as fast as the processor allows; times are in virtual seconds."""

    def __init__(self):
        self.selector = _VirtualTimeSelector()
        super().__init__(self.selector)

    def time(self):
        """Returns the virtual time."""
        return self.selector.now
