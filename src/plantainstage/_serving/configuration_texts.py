"""Checks the texts in a configuration before it is stored.

As for its numbers, entry hosts take any document that control has stored.
"""

from plantainstage._errors import ConfigurationProblem, InvalidConfigurationError
from plantainstage._serving import text_kinds as kinds
from plantainstage._serving.configuration import MAX_PROBLEMS, ServingConfiguration


def check_texts(configuration: ServingConfiguration):
    """Raises InvalidConfigurationError if a text is not of the kind that it must be.

    The names of client accounts and their keys have checks of their own.
    """
    problems = (
        *(
            ConfigurationProblem(place=place, detail=f"{name} must be {kind}")
            for place, name, text, kind in _texts(configuration)
            if not kind.contains(text)
        ),
        *_repeated_places(configuration),
    )
    if problems:
        raise InvalidConfigurationError(problems=problems[:MAX_PROBLEMS])


def _repeated_places(configuration):
    """Yields routes that differ from an earlier one only in the case of the host.

    Requests name a host in any case, so only one of the two would get them.
    """
    places = set()
    for index, route in enumerate(configuration.routes):
        place = (route.host.lower(), route.path_prefix)
        if place in places:
            yield ConfigurationProblem(
                place=f"routes[{index}]",
                detail="the host and path prefix are those of an earlier route",
            )
        places.add(place)


def _texts(configuration):
    """Yields (place, name, text, kind) of each text."""
    for index, route in enumerate(configuration.routes):
        place = f"routes[{index}]"  # its name may be what is wrong
        yield place, "the name", route.name, kinds.NAME
        yield place, "the host", route.host, kinds.HOST_NAME
        yield place, "the path prefix", route.path_prefix, kinds.REQUEST_TARGET
    for index, service in enumerate(configuration.services):
        place = f"services[{index}]"
        yield place, "the name", service.name, kinds.NAME
        yield place, "the health path", service.health_path, kinds.REQUEST_TARGET
