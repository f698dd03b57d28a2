"""Exit codes of limpetctl."""

import enum


class ExitCode(enum.IntEnum):
    """Exit codes that programs which call limpetctl can rely on."""

    OK = 0
    FINDINGS = 1
    USAGE = 2
    CONFLICT = 3
    STORE_UNAVAILABLE = 4
    NOT_SEEN_EVERYWHERE = 5
    OUTCOME_UNKNOWN = 6
    NOT_FOUND = 7
    WARNINGS = 8
    INTERRUPTED = 130
