"""Reads a folder of TOML files into a deployment.

The files are merged in the order of their names; where two files set the same
field, the later file wins. Each record is a table with the record's name::

    availability_zones = ["nordvik-a", "nordvik-b"]

    [accounts.county-league]
    rate = 40000                     # tokens per second, whole fleet
    burst = 400000                   # tokens
    key_digests = { office = "..." } # SHA-256 in hexadecimal

    [routes.lookups]
    prefix = "/roster"
    kind = "plain"
    pool = "roster-api"
    first_token = "250ms"

The other tables are ``instances``, ``backend_servers``, ``models`` and
``weight_store``, which holds one record without a name. The fields are those of
the classes in ``state.deployment``. Durations are written as ``"47ms"``,
``"1.1s"``, ``"2m"``, ``"1h"`` or in ISO 8601.
"""

import tomllib
from dataclasses import MISSING, dataclass, fields
from datetime import timedelta
from functools import cache
from pathlib import Path
from typing import Any, Literal, get_args, get_origin, get_type_hints

import msgspec

from .deployment import (
    BackendServer,
    ClientAccount,
    Deployment,
    FleetInstance,
    Model,
    Route,
    WeightStore,
)
from .durations import parse_duration
from .folder_checks import Problem, check_deployment
from .toml_lines import KeyPath, flatten, keys_by_line, line_of, syntax_problems

SUFFIX = ".toml"
ZONES_KEY = "availability_zones"
WEIGHT_STORE_KEY = "weight_store"
CLASSES_BY_TABLE: dict[str, type] = {
    "instances": FleetInstance,
    "accounts": ClientAccount,
    "routes": Route,
    "backend_servers": BackendServer,
    "models": Model,
}
TOP_LEVEL_KEYS = (ZONES_KEY, *CLASSES_BY_TABLE, WEIGHT_STORE_KEY)
COMMAND_ONLY_FIELDS = {"withdrawn_digests"}
"""Fields that are set by commands and not allowed in files."""


@dataclass(frozen=True, slots=True)
class LocatedValue:
    """A value with the file and line that set it; line 0 when unknown."""

    value: Any
    file: str
    line: int = 0


@dataclass(frozen=True, slots=True)
class Folder:
    """The configuration read from a folder.

    ``stated_states`` are the names of the backend servers whose ``state`` is set
    in the folder; the state of the others is set by commands.
    """

    deployment: Deployment
    stated_states: frozenset[str] = frozenset()


class BadFolderError(Exception):
    """A folder has errors.

    ``problems`` holds all of them except those that can't be checked until another
    error is corrected: missing fields while a file can't be read, and references
    to a table while a record of that table is invalid.
    """

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


def read_folder(folder: Path) -> Folder:
    """Return the configuration merged from the files of ``folder``.

    Raises ``BadFolderError`` with all errors found.
    """
    reader = _Reader()
    reader.read(folder)
    deployment = reader.deployment()
    faulty_tables = reader.faulty_tables()
    reader.problems += check_deployment(deployment, reader.locate, faulty_tables)
    if reader.problems:
        raise BadFolderError(tuple(sorted(set(reader.problems))))
    states = {
        path[1]
        for path in reader.located_by_path
        if path[0] == "backend_servers" and path[2:] == ("state",)
    }
    return Folder(deployment, frozenset(states))


class _Reader:
    """Collects the values and the problems of a folder.

    ``incomplete`` is set when a file could not be read; missing fields are not
    reported then, because that file may set them.
    """

    def __init__(self) -> None:
        self.problems: list[Problem] = []
        self.incomplete = False
        self.located_by_path: dict[KeyPath, LocatedValue] = {}

    def read(self, folder: Path) -> None:
        """Merge all files of ``folder``."""
        if not folder.is_dir():
            self._report_file(str(folder), "not a folder")
            return
        files = sorted(path for path in folder.iterdir() if not _is_ignored(path))
        if not files:
            self._report_file(str(folder), f"contains no {SUFFIX} files")
        for file in files:
            self._read_file(file)

    def locate(self, path: KeyPath) -> LocatedValue:
        """Return the value at ``path``, or else one of the nearest enclosing table."""
        if path in self.located_by_path:
            return self.located_by_path[path]
        for length in range(len(path), 0, -1):
            prefix = path[:length]
            for candidate, located in self.located_by_path.items():
                if candidate[:length] == prefix:
                    return located
        return LocatedValue(None, "")

    def deployment(self) -> Deployment:
        """Return the deployment built from the values, without invalid records."""
        for path in self.located_by_path:
            if path[0] not in TOP_LEVEL_KEYS:
                allowed = ", ".join(TOP_LEVEL_KEYS)
                self._report(path[:1], f"unknown; allowed: {allowed}")
        records_by_table = {
            table: self._records(table, record_type)
            for table, record_type in CLASSES_BY_TABLE.items()
        }
        return Deployment(
            availability_zones=self._zones(),
            instances_by_name=records_by_table["instances"],
            accounts_by_name=records_by_table["accounts"],
            routes_by_name=records_by_table["routes"],
            backend_servers_by_name=records_by_table["backend_servers"],
            models_by_name=records_by_table["models"],
            weight_store=self._weight_store(),
        )

    def faulty_tables(self) -> frozenset[str]:
        """Return the tables that have an invalid record or could be incomplete."""
        if self.incomplete:
            return frozenset(TOP_LEVEL_KEYS)
        return frozenset(problem.key.split(".")[0] for problem in self.problems)

    def _read_file(self, file: Path) -> None:
        if file.suffix != SUFFIX or not file.is_file():
            reason = f"not a {SUFFIX} file; move it out of the folder"
            self._report_file(file.name, reason)
            return
        try:
            text = file.read_text(encoding="utf-8")
            tables = tomllib.loads(text)
        except tomllib.TOMLDecodeError as error:
            self.problems += syntax_problems(file.name, text, error)
            self.incomplete = True
            return
        except (OSError, UnicodeDecodeError) as error:
            self._report_file(file.name, str(error))
            return
        lines_by_path = {path: line for line, path in keys_by_line(text)}
        for path, value in flatten(tables, ()):
            line = line_of(lines_by_path, path)
            self.located_by_path[path] = LocatedValue(value, file.name, line)

    def _report_file(self, file: str, reason: str) -> None:
        self.problems.append(Problem(file, 0, "", reason))
        self.incomplete = True

    def _report_missing(self, path: KeyPath) -> None:
        if not self.incomplete:
            self._report(path, "required field is missing")

    def _report(self, path: KeyPath, reason: str) -> None:
        located = self.locate(path)
        key = ".".join(path)
        self.problems.append(Problem(located.file, located.line, key, reason))

    def _zones(self) -> tuple[str, ...]:
        located = self.located_by_path.get((ZONES_KEY,))
        if located is None:
            self._report_missing((ZONES_KEY,))
            return ()
        return self._convert((ZONES_KEY,), located.value, tuple[str, ...]) or ()

    def _weight_store(self) -> WeightStore | None:
        values: dict[str, Any] = {}
        paths = [path for path in self.located_by_path if path[0] == WEIGHT_STORE_KEY]
        for path in paths:
            located = self.located_by_path[path]
            if len(path) == 2:
                values[path[1]] = located.value
            elif len(path) > 2 or located.value != {}:
                self._report(path, "expected a table of plain values")
                return None
        return self._record((WEIGHT_STORE_KEY,), WeightStore, values) if paths else None

    def _records(self, table: str, record_type: type) -> dict[str, Any]:
        values_by_name = self._values_by_name(table)
        records = {
            name: self._record((table, name), record_type, values)
            for name, values in values_by_name.items()
        }
        return {name: record for name, record in records.items() if record}

    def _values_by_name(self, table: str) -> dict[str, dict[str, Any]]:
        values_by_name: dict[str, dict[str, Any]] = {}
        for path, located in self.located_by_path.items():
            if path[0] != table or path == (table,) and located.value == {}:
                continue
            if len(path) < 2 or len(path) == 2 and located.value != {}:
                self._report(path, "expected a table")
                continue
            values = values_by_name.setdefault(path[1], {})
            if len(path) == 3:
                values[path[2]] = located.value
            if len(path) > 3:
                nested = values.setdefault(path[2], {})
                if isinstance(nested, dict):
                    nested[".".join(path[3:])] = located.value
                else:
                    self._report(path, "expected a plain value, not a table")
        return values_by_name

    def _record(self, path: KeyPath, record_type: type, values: dict[str, Any]) -> Any:
        problems_before = len(self.problems)
        types_by_field = _types_by_field(record_type)
        converted: dict[str, Any] = {"name": path[1]} if len(path) > 1 else {}
        for field, value in values.items():
            if field not in types_by_field:
                allowed = ", ".join(types_by_field)
                self._report((*path, field), f"unknown field; allowed: {allowed}")
                continue
            field_type = types_by_field[field]
            converted[field] = self._convert((*path, field), value, field_type)
        missing = _required_fields(record_type) - set(converted)
        for field in missing:
            self._report_missing((*path, field))
        if missing or len(self.problems) > problems_before:
            return None
        return record_type(**converted)

    def _convert(self, path: KeyPath, value: Any, expected_type: Any) -> Any:
        try:
            return _convert(value, expected_type)
        except (ValueError, msgspec.ValidationError) as error:
            self._report(path, str(error))
            return None


def _is_ignored(path: Path) -> bool:
    return path.name.startswith((".", "README"))


@cache
def _types_by_field(record_type: type) -> dict[str, Any]:
    hidden = {"name"} | COMMAND_ONLY_FIELDS
    hints = get_type_hints(record_type)
    return {
        field.name: hints[field.name]
        for field in fields(record_type)
        if field.name not in hidden
    }


def _required_fields(record_type: type) -> set[str]:
    return {
        field.name
        for field in fields(record_type)
        if field.default is MISSING and field.default_factory is MISSING
    }


def _convert(value: Any, expected_type: Any) -> Any:
    if expected_type is timedelta and isinstance(value, str):
        return parse_duration(value)
    if expected_type is timedelta:
        raise ValueError(f"{value!r} is not a duration; write it as a string")
    if get_origin(expected_type) is Literal and value not in get_args(expected_type):
        allowed = ", ".join(repr(each) for each in get_args(expected_type))
        raise ValueError(f"{value!r} is not allowed; allowed: {allowed}")
    return msgspec.convert(value, expected_type)
