"""Durable storage of a control replica."""

from plantainstage._storage.files import FileOperations, SystemFiles
from plantainstage._storage.store import Store

__all__ = ["FileOperations", "Store", "SystemFiles"]
