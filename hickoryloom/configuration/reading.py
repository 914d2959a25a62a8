"""Reads the operators' documents from all directories below a root directory."""

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
    format_value,
    join_key_path,
    read_json_file,
    read_record,
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
    """Read and validate all documents below a directory as one configuration.

    Documents are files named `hickoryloom.json` or `*.hickoryloom.json`. Hidden directories are
    skipped and symbolic links to directories are not followed.

    Args:
        directory: Directory that contains the directories of the services.

    Returns:
        The documents, or all faults found in them.
    """
    files = sorted(_find_files(Path(directory)))
    if not files:
        allowed = f"at least one {DOCUMENT_NAME} or *{DOCUMENT_SUFFIX} below the directory"
        return Err((Fault(str(directory), "", "no document", allowed, "Check the directory."),))
    collector = _DocumentCollector()
    for file in files:
        collector.add_file(file)
    collector.faults.extend(check_documents(collector.documents, collector.sources))
    if collector.faults:
        return Err(tuple(collector.faults))
    return Ok(collector.documents)


def _find_files(directory: Path) -> Iterator[Path]:
    for root, subdirectories, names in os.walk(directory):
        subdirectories[:] = [folder for folder in subdirectories if not folder.startswith(".")]
        for name in names:
            if name == DOCUMENT_NAME or name.endswith(DOCUMENT_SUFFIX):
                yield Path(root) / name


class _DocumentCollector:
    """Collects records, the file of each record, and the faults found while reading."""

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
            self._add_fault(file, "", format_value(value), allowed, "Write an object.")
            return
        for section, records in value.items():
            if section not in SECTIONS:
                self._add_fault(
                    file, section, "an unknown section", allowed, "Rename or remove it."
                )
            elif not isinstance(records, dict):
                expected_form = "an object of records by name"
                self._add_fault(
                    file, section, format_value(records), expected_form, "Write an object."
                )
            else:
                self._add_section(file, section, records)

    def _add_section(self, file: Path, section: str, records: dict[str, Any]) -> None:
        for name, record in records.items():
            try:
                Name().read(name)
            except InvalidValueError as error:
                [reason] = error.reasons
                self._add_fault(file, f"{section} name", reason.found, reason.allowed, "Rename it.")
                continue
            self._add_record(file, section, name, record)

    def _add_record(self, file: Path, section: str, name: str, record: Any) -> None:
        key_path = join_key_path(section, name)
        record_type = SECTIONS[section]
        name_field = "label" if record_type is KeyRecord else "name"
        parsed = read_record(
            record_type, record, str(file), key_path, self.faults, **{name_field: name}
        )
        if self._is_duplicate(file, section, name):
            return
        self.sources[section, name] = str(file)
        if parsed is not None:
            self._store(file, section, name, parsed)

    def _is_duplicate(self, file: Path, section: str, name: str) -> bool:
        first_source = self.sources.get((section, name))
        if first_source is None:
            return False
        found = f"a name that {first_source} also defines"
        self._add_fault(
            file, join_key_path(section, name), found, "one definition", "Remove or rename one."
        )
        return True

    def _store(self, file: Path, section: str, name: str, record: Any) -> None:
        if not isinstance(record, KeyRecord):
            self._sections[section][name] = record
            return
        first_record = self._sections[section].get(record.hash)
        if first_record is None:
            self._sections[section][record.hash] = attrs.evolve(record, issued=False)
            return
        found = f"the hash of {first_record.label} in {self.sources[section, first_record.label]}"
        self._add_fault(
            file, join_key_path(section, name), found, "each key once", "Remove one of them."
        )

    def _add_fault(self, file: Path, key: str, found: str, allowed: str, remedy: str) -> None:
        self.faults.append(Fault(str(file), key, found, allowed, remedy))
