"""Interface of limpetctl's commands, and the context they run in."""

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
    """The command line has arguments that the command does not accept."""


@dataclass(slots=True)
class Context:
    """Arguments and services of one run of a command.

    :param flags: values of the global flags and of the command's own.
    :param args: positional arguments after the command's name.
    :param out: writer of the command's output.
    :param clock: source of time.
    :param cfg: settings; None for a command that needs no platform.
    :param platform: clients of the platform; None for a command that needs
        none.
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
        configured = self.cfg.operator if self.cfg else ""
        return (
            self.flags["operator"].value or configured or settings.login_name()
        )

    def arguments(self, *names: str) -> Sequence[str]:
        """Return the positional arguments, one for each name.

        :param names: names of the expected arguments, for the error text.
        :raises UsageError: when there are more or fewer arguments.
        """
        if len(self.args) != len(names):
            expected = " ".join(names) or "no arguments"
            got = " ".join(self.args) or "none"
            raise UsageError(f"got {got}, expected {expected}")
        return self.args


def choice(word: str, choices: Mapping[str, T]) -> T:
    """Return the value that an argument selects.

    :param word: argument as given.
    :param choices: values by argument.
    :raises UsageError: when the argument is not among the choices.
    """
    if word not in choices:
        expected = ", ".join(choices)
        raise UsageError(f"got {word!r}, expected one of {expected}")
    return choices[word]


class Command(Protocol):
    """Command of limpetctl; plug-ins of kind COMMAND.

    ``help`` describes the command in one line, ``usage`` lists its arguments,
    ``examples`` are complete arguments of limpetctl, and ``needs_platform``
    is whether the command connects to the platform.
    """

    help: str
    usage: str
    examples: Sequence[str]
    needs_platform: bool

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define the command's own flags."""
        ...

    async def handle(self, ctx: Context) -> exits.ExitCode:
        """Run the command and return the exit code.

        :raises UsageError: when it does not accept the arguments.
        :raises StoreError: when the platform does not answer.
        """
        ...
