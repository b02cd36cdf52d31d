"""Finds the route of a request: host, then the longest path prefix."""

from plantainstage._serving.account_keys import AccountKeys
from plantainstage._serving.configuration import Route, ServingConfiguration


class RouteTable:
    """The routes and client accounts of one configuration.

    Every prefix ends with a slash, so the candidates for a path are its prefixes up
    to each slash, and the cost of a lookup does not depend on the number of routes.
    For example, ``find("a.example", "/x/y/z")`` tries ``/x/y/``, ``/x/`` and ``/``.
    """

    def __init__(self, *, configuration: ServingConfiguration):
        self.configuration = configuration
        self.hosts = {}
        for route in configuration.routes:
            prefixes = self.hosts.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route
        self.services = {service.name: service for service in configuration.services}
        self.accounts = {account.name: account for account in configuration.accounts}
        self.keys = AccountKeys(accounts=configuration.accounts)

    def find(self, host: str, target: str) -> Route | None:
        """Returns the route, or None; ``target`` may include a query string."""
        prefixes = self.hosts.get(_name_of(host))
        if prefixes is None:
            return None
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def _name_of(host):
    name, _, port = host.rpartition(":")
    if name and port.isdigit():
        host = name
    return host.lower()
