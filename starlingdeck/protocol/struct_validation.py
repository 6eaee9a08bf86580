"""Validation of decoded settings against their structs, reporting all errors at once."""

import types
from typing import Any, get_args, get_origin

import msgspec


def validation_errors(raw: object, kind: type[msgspec.Struct], path: str) -> list[str]:
    """Return all errors of a table, one line each; decoding alone would stop at the first.

    `path` is the table's path within its file; empty for the file itself.
    """
    if not isinstance(raw, dict):
        return [f"{path or 'file'}: expected a table"]
    lines = []
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    for name, field in fields.items():
        field_path = f"{path}.{name}" if path else name
        if name in raw:
            lines += _value_errors(raw[name], field.type, field_path)
        elif field.required:
            lines.append(f"{field_path}: missing")
    if kind.__struct_config__.forbid_unknown_fields:
        lines += [f"{path or 'file'}: unknown key {name!r}" for name in raw if name not in fields]
    return lines


def _value_errors(value: object, kind: Any, path: str) -> list[str]:
    """Return the errors of one field's value, one line each."""
    if (struct := _struct_of(kind)) is not None:
        return validation_errors(value, struct, path)
    if (struct := _struct_of_values(kind)) is not None and isinstance(value, dict):
        lines = []
        for key, item in value.items():
            lines += validation_errors(item, struct, f"{path}.{key}")
        for key in value:
            lines += _conversion_errors(key, get_args(kind)[0], f"{path}.{key}")
        return lines
    return _conversion_errors(value, kind, path)


def _conversion_errors(value: object, kind: Any, path: str) -> list[str]:
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        return [f"{path}: {error}"]
    return []


def _struct_of(kind: Any) -> type[msgspec.Struct] | None:
    """Return the struct if a field's type is a struct or an optional struct, else None."""
    kinds = get_args(kind) if isinstance(kind, types.UnionType) else (kind,)
    found = [k for k in kinds if isinstance(k, type) and issubclass(k, msgspec.Struct)]
    return found[0] if found else None


def _struct_of_values(kind: Any) -> type[msgspec.Struct] | None:
    """Return the struct if a field's type is a dictionary with structs as values, else None."""
    return _struct_of(get_args(kind)[1]) if get_origin(kind) is dict else None
