"""Collects operators' documents that lie scattered below a directory."""

from __future__ import annotations

import os
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import attrs
from result import Err, Ok, Result

from hickoryloom.config import (
    Fault,
    InvalidValueError,
    Name,
    join,
    read_json_file,
    read_record,
    show,
)
from hickoryloom.configuration.checking import Sources, check_documents
from hickoryloom.configuration.documents import (
    Customer,
    Documents,
    KeyRecord,
    Pool,
    RequestClass,
    Service,
)

__all__ = ["DOCUMENT_NAME", "read_documents"]

DOCUMENT_NAME = "hickoryloom.json"
DOCUMENT_SUFFIX = ".hickoryloom.json"
SECTIONS: dict[str, type[Any]] = {
    "pools": Pool,
    "services": Service,
    "classes": RequestClass,
    "customers": Customer,
    "keys": KeyRecord,
}


def read_documents(directory: str | Path) -> Result[Documents, tuple[Fault, ...]]:
    """Read and check all documents below a directory as one configuration.

    Documents are files named `hickoryloom.json` or `*.hickoryloom.json`; hidden directories are
    passed over and symbolic links to directories are not followed.

    Args:
        directory: Where the services' folders lie.

    Returns:
        The documents, or every fault found in any of them.
    """
    files = sorted(_find_files(Path(directory)))
    if not files:
        allowed = f"at least one {DOCUMENT_NAME} or *{DOCUMENT_SUFFIX} below it"
        return Err((Fault(str(directory), "", "no document", allowed, "Check the directory."),))
    collected = _Collected()
    for file in files:
        collected.add_file(file)
    collected.faults.extend(check_documents(collected.documents, collected.sources))
    if collected.faults:
        return Err(tuple(collected.faults))
    return Ok(collected.documents)


def _find_files(directory: Path) -> Iterator[Path]:
    for root, folders, names in os.walk(directory):
        folders[:] = [folder for folder in folders if not folder.startswith(".")]
        for name in names:
            if name == DOCUMENT_NAME or name.endswith(DOCUMENT_SUFFIX):
                yield Path(root) / name


class _Collected:
    """Documents, where each stands, and the faults found while reading."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []
        self.sources: Sources = {}
        self._sections: dict[str, dict[str, Any]] = {section: {} for section in SECTIONS}

    @property
    def documents(self) -> Documents:
        return Documents(**self._sections)

    def add_file(self, file: Path) -> None:
        loaded = read_json_file(file)
        if loaded.is_err():
            self.faults.append(loaded.unwrap_err())
            return
        value = loaded.unwrap()
        allowed = f"an object with sections among {', '.join(SECTIONS)}"
        if not isinstance(value, dict):
            self._fault(file, "", show(value), allowed, "Write an object.")
            return
        for section, records in value.items():
            if section not in SECTIONS:
                self._fault(file, section, "an unknown section", allowed, "Rename or remove it.")
            elif not isinstance(records, dict):
                form = "an object of records by name"
                self._fault(file, section, show(records), form, "Write an object.")
            else:
                self._add_section(file, section, records)

    def _add_section(self, file: Path, section: str, records: dict[str, Any]) -> None:
        for name, record in records.items():
            try:
                Name().read(name)
            except InvalidValueError as error:
                [reason] = error.reasons
                self._fault(file, f"{section} name", reason.found, reason.allowed, "Rename it.")
                continue
            self._add_record(file, section, name, record)

    def _add_record(self, file: Path, section: str, name: str, record: Any) -> None:
        place = join(section, name)
        kind = SECTIONS[section]
        own_name = "label" if kind is KeyRecord else "name"
        found = read_record(kind, record, str(file), place, self.faults, **{own_name: name})
        if self._is_repeated(file, section, name):
            return
        self.sources[section, name] = str(file)
        if found is not None:
            self._put(file, section, name, found)

    def _is_repeated(self, file: Path, section: str, name: str) -> bool:
        first = self.sources.get((section, name))
        if first is None:
            return False
        found = f"a name that {first} defines too"
        self._fault(file, join(section, name), found, "one definition", "Remove or rename one.")
        return True

    def _put(self, file: Path, section: str, name: str, record: Any) -> None:
        if not isinstance(record, KeyRecord):
            self._sections[section][name] = record
            return
        first = self._sections[section].get(record.hash)
        if first is None:
            self._sections[section][record.hash] = attrs.evolve(record, issued=False)
            return
        found = f"the hash of {first.label} in {self.sources[section, first.label]}"
        self._fault(file, join(section, name), found, "each key once", "Remove one of them.")

    def _fault(self, file: Path, key: str, found: str, allowed: str, remedy: str) -> None:
        self.faults.append(Fault(str(file), key, found, allowed, remedy))
