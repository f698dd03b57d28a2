"""Programs of earlier commits, from the repository's own history."""

import io
import pathlib
import subprocess
import tarfile

# Folders that hold the packages of an entry node of the soak.
PACKAGES = (
    "packages/limpetwalk",
    "packages/limpetwalk-node",
    "packages/limpetwalk-bench",
    "platform",
)
ROOT = pathlib.Path(__file__).resolve().parents[4]


def export(commit: str, folder: pathlib.Path) -> tuple[str, ...]:
    """Write the packages of a commit to a folder.

    The requirements are those of the present build.

    :returns: folders from which a process imports them.
    :raises CalledProcessError: when git doesn't know the commit.
    """
    archive = subprocess.run(
        ("git", "archive", "--format=tar", commit, *PACKAGES),
        cwd=ROOT,
        check=True,
        capture_output=True,
    ).stdout
    with tarfile.open(fileobj=io.BytesIO(archive)) as tar:
        tar.extractall(folder, filter="data")
    return tuple(str(folder / package) for package in PACKAGES)
