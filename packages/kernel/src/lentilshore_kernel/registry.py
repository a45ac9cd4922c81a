"""Registry of plug-ins by group and name."""

from __future__ import annotations

from collections.abc import Callable
from importlib.metadata import entry_points
from typing import Any, TypeVar

from .exceptions import UnknownPluginError

ENTRY_POINT_GROUP = "lentilshore.plugins"

_T = TypeVar("_T")


class Registry:
    """Factories of plug-ins, by group and name."""

    def __init__(self) -> None:
        self._factories: dict[str, dict[str, Any]] = {}

    def add(self, group: str, name: str, factory: Any) -> None:
        """Register a factory.

        :param group: plug-in group, such as ``upstream``.
        :param name: name by which settings refer to the plug-in.
        :param factory: what :meth:`find` returns.
        """
        self._factories.setdefault(group, {})[name] = factory

    def find(self, group: str, name: str) -> Any:
        """Return the factory with this name.

        :raises UnknownPluginError: if none is registered.
        """
        factories = self._factories.get(group, {})
        if name not in factories:
            raise UnknownPluginError(group, name, sorted(factories))
        return factories[name]

    def names(self, group: str) -> list[str]:
        """Return the registered names of a group, sorted."""
        return sorted(self._factories.get(group, {}))


def plugin(group: str, name: str) -> Callable[[_T], _T]:
    """Mark a factory as a plug-in.

    The factory is registered when :func:`load_plugins` imports its module through the
    module's entry point, or when the module is passed to :func:`register_module`.

    :param group: plug-in group: ``policy``, ``upstream``, ``platform``,
        ``operators``, ``fleet_source`` or ``translator``.
    :param name: name by which settings refer to the plug-in.
    """

    def mark(factory: _T) -> _T:
        factory.__lentilshore_plugin__ = (group, name)  # type: ignore[attr-defined]
        return factory

    return mark


def load_plugins() -> Registry:
    """Import every installed plug-in module and collect its factories.

    :returns: a new registry.
    """
    registry = Registry()
    for entry_point in entry_points(group=ENTRY_POINT_GROUP):
        register_module(registry, entry_point.load())
    return registry


def register_module(registry: Registry, module: Any) -> None:
    """Register each marked factory of a module.

    :param registry: receives the factories.
    :param module: an imported module.
    """
    for value in vars(module).values():
        plugin_key = getattr(value, "__lentilshore_plugin__", None)
        if plugin_key is not None:
            registry.add(plugin_key[0], plugin_key[1], value)
