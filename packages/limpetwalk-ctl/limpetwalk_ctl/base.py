"""Interface of limpetctl's commands, and what a command works with."""

from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol
from typing import TypeVar

from absl import flags

from limpetwalk import clock as clocks
from limpetwalk.conf import head
from limpetwalk.providers import factory

from . import exits
from . import output
from . import settings

T = TypeVar("T")


class UsageError(Exception):
    """The command line is not one that the command takes."""


@dataclass(slots=True)
class Context:
    """What a command works with.

    :param flags: values of the global flags and the command's own.
    :param args: positional arguments after the command's name.
    :param out: writer of the answer.
    :param cfg: settings; None for a command that needs none.
    :param platform: clients of the platform; None like the settings.
    :param clock: source of time.
    """

    flags: flags.FlagValues
    args: Sequence[str]
    out: output.Output
    clock: clocks.Clock
    cfg: settings.CtlSettings | None = None
    platform: factory.Platform | None = None

    @property
    def heads(self) -> head.HeadStore:
        """Store of the accepted configurations."""
        assert self.platform is not None
        return head.HeadStore(
            self.platform.table, self.platform.objects, self.clock
        )

    @property
    def author(self) -> str:
        """Name under which a change is recorded."""
        named = self.cfg.operator if self.cfg else ""
        return self.flags["operator"].value or named or settings.login_name()

    def arguments(self, *names: str) -> Sequence[str]:
        """Return the positional arguments when there are as many as names.

        :raises UsageError: when there are more or fewer.
        """
        if len(self.args) != len(names):
            wanted = " ".join(names) or "no arguments"
            got = " ".join(self.args) or "none"
            raise UsageError(f"got {got}, expected {wanted}")
        return self.args


def choice(word: str, choices: Mapping[str, T]) -> T:
    """Return what a word stands for.

    :raises UsageError: when it is not among the choices.
    """
    if word not in choices:
        expected = ", ".join(choices)
        raise UsageError(f"got {word!r}, expected one of {expected}")
    return choices[word]


class Command(Protocol):
    """Command of limpetctl; plug-ins of kind COMMAND.

    ``help`` says in a line what it does, ``usage`` its arguments,
    ``examples`` are whole command lines, and ``needs_platform`` tells
    whether it talks to the platform.
    """

    help: str
    usage: str
    examples: Sequence[str]
    needs_platform: bool

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define the command's own flags."""
        ...

    async def handle(self, ctx: Context) -> exits.ExitCode:
        """Do the work and return the exit code.

        :raises UsageError: when the arguments are not what it takes.
        :raises StoreError: when the platform does not answer.
        """
        ...
