"""Loads settings. Precedence: command line flags, environment, file, defaults.

The environment variable of ``[section] key`` is ``BENDSHED_SECTION__KEY``.
"""

import os
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson
from pydantic import BaseModel, ValidationError

from bendshed.settings.model import Settings

ENVIRONMENT_PREFIX = "BENDSHED_"
SECRET_FIELDS = frozenset({"token_sha256"})


@dataclass(frozen=True, slots=True)
class SettingsProblem:
    """One invalid setting: where it is, its value, and how to correct it."""

    file: str
    field: str
    value: str
    hint: str

    def __str__(self) -> str:
        return f"{self.file}: {self.field}: {self.value}: {self.hint}"


class SettingsInvalid(Exception):
    """All problems of a settings file, reported together."""

    def __init__(self, problems: list[SettingsProblem]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


@dataclass(frozen=True, slots=True)
class EffectiveValue:
    """The effective value of one setting, and its source."""

    field: str
    value: str
    source: str


@dataclass(frozen=True, slots=True)
class LoadedSettings:
    """Settings, and the source of each value that is not a default."""

    settings: Settings
    sources: dict[str, str]

    def effective(self) -> list[EffectiveValue]:
        """Return all values; secrets are hidden."""
        rows = []
        for section, fields in self.settings.model_dump(mode="json").items():
            for name, value in fields.items():
                path = f"{section}.{name}"
                shown = "(hidden)" if name in SECRET_FIELDS and value else orjson.dumps(value)
                text = shown if isinstance(shown, str) else shown.decode()
                rows.append(EffectiveValue(path, text, self.sources.get(path, "default")))
        return rows


def load_settings(
    path: Path, flags: Mapping[str, str], environment: Mapping[str, str] = os.environ
) -> LoadedSettings:
    """Read, merge and validate settings; raise ``SettingsInvalid``.

    Args:
        path: TOML file.
        flags: values from the command line by ``section.key``.
        environment: process environment.

    """
    merged, sources = _read_file(path), {}
    for section, fields in merged.items():
        if isinstance(fields, dict):
            sources.update({f"{section}.{name}": str(path) for name in fields})
    for field, text in _environment_overrides(environment).items():
        _override(merged, field, text)
        sources[field] = "environment"
    for field, text in flags.items():
        _override(merged, field, text)
        sources[field] = "flag"
    try:
        return LoadedSettings(Settings.model_validate(merged), sources)
    except ValidationError as error:
        raise SettingsInvalid(_problems(path, error)) from error


def _read_file(path: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(path.read_text())
    except OSError as error:
        problem = SettingsProblem(str(path), "(file)", str(error), "name a file that can be read")
    except tomllib.TOMLDecodeError as error:
        problem = SettingsProblem(str(path), "(syntax)", str(error), "write valid TOML")
    raise SettingsInvalid([problem])


def _environment_overrides(environment: Mapping[str, str]) -> dict[str, str]:
    overrides = {}
    for name, text in environment.items():
        if name.startswith(ENVIRONMENT_PREFIX) and "__" in name:
            section, _, key = name.removeprefix(ENVIRONMENT_PREFIX).lower().partition("__")
            overrides[f"{section}.{key}"] = text
    return overrides


def _override(merged: dict[str, Any], field: str, text: str) -> None:
    section, _, key = field.partition(".")
    value: Any = text.split(",") if key == "seeds" else text
    merged.setdefault(section, {})[key] = value


def _problems(path: Path, error: ValidationError) -> list[SettingsProblem]:
    problems = []
    for row in error.errors():
        field = ".".join(str(part) for part in row["loc"])
        missing = row["type"] == "missing"
        value = "(missing)" if missing else repr(row["input"])
        hint = _hint(row["loc"], row["msg"])
        problems.append(SettingsProblem(str(path), field, value, hint))
    return problems


def _hint(location: tuple[int | str, ...], message: str) -> str:
    """Return pydantic's message, or for an unknown key the keys that exist."""
    if "Extra inputs" not in message:
        return message
    section: type[BaseModel] = Settings
    for part in location[:-1]:
        annotation = section.model_fields[str(part)].annotation
        assert isinstance(annotation, type)
        section = annotation
    return f"no such setting; known here: {', '.join(section.model_fields)}"
