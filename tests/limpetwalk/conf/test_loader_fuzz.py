"""Fuzz tests: the loader returns findings or a document, and never raises."""

import pathlib
import tempfile

import hypothesis
from hypothesis import strategies as st
from result import Ok
import yaml

from limpetwalk.conf import checks
from limpetwalk.conf import compiler
from limpetwalk.conf import document
from limpetwalk.conf import findings
from limpetwalk.conf import loader

from . import sites

RUNS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=60
)
SECTIONS = sorted(document.Document.model_fields)
WORDS = sorted(
    {
        key
        for kind in vars(document).values()
        for key in getattr(kind, "model_fields", ())
    }
)
TEXTS = [
    path.read_bytes()
    for site in (sites.BERCVAR, sites.NAVARRETE)
    for path in sorted(site.iterdir())
] + [sites.SMALL.encode()]
PIECES = [
    b"{", b"}", b"[", b"]", b":", b"- ", b"\n", b"  ", b"\t", b"&a ", b"*a",
    b"!!int ", b"!!python/object:os.system ", b"<<: ", b"'", b'"', b"#",
    b"---\n", b"...\n", b"%YAML 9.9\n", b"\x00", b"\xff", b"\xef\xbb\xbf",
    b"null", b"-1", b"1e999", b".nan", b"0x", b"1:2:3", b"? ", b"|\n", b"~",
    b"\xed\xa0\x80", b'"\\ud800"', b"9" * 30, b"=",
]  # fmt: skip

scalars = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(max_size=8),
    st.dates(),
    st.sampled_from(["1", "z1", "cheap", "127.0.0.1:80", "engine", "live"]),
)
keys = st.one_of(st.sampled_from(SECTIONS + WORDS), st.text(max_size=5))
trees = st.recursive(
    scalars,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(keys, inner, max_size=4),
    ),
    max_leaves=20,
)
edits = st.lists(
    st.tuples(
        st.floats(min_value=0, max_value=1),
        st.integers(min_value=0, max_value=30),
        st.sampled_from(PIECES),
    ),
    min_size=1,
    max_size=4,
)


def check_load(*files: bytes) -> None:
    """Load files and check that the result is consistent.

    A failure has located findings on one line each, with an error among them.
    A document survives a round trip through its bytes, passes the checks
    and compiles to the same snapshot each time.
    """
    with tempfile.TemporaryDirectory() as folder:
        for number, data in enumerate(files):
            pathlib.Path(folder, f"{number}.yaml").write_bytes(data)
        outcome = loader.load_folder_with_locations(folder)
    if not isinstance(outcome, Ok):
        assert findings.errors(outcome.err_value)
        for finding in outcome.err_value:
            assert str(finding.location).startswith(folder)
            assert finding.got and finding.expected
            assert "\n" not in str(finding)
        return
    doc = outcome.ok_value.document
    data = doc.to_bytes()
    again = document.Document.from_bytes(data)
    assert again == doc and again.to_bytes() == data
    assert findings.errors(checks.run_checks(again)) == []
    first = compiler.compile_document(data)
    assert first == compiler.compile_document(data)
    assert first.digest == compiler.digest_of(data)


class LoaderFuzzTest(sites.FolderCase):
    @RUNS
    @hypothesis.given(st.binary(max_size=200))
    def test_arbitrary_bytes(self, data: bytes) -> None:
        check_load(data)

    @RUNS
    @hypothesis.given(trees, trees)
    def test_arbitrary_trees(self, first: object, later: object) -> None:
        check_load(
            sites.SMALL.encode(),
            yaml.safe_dump(first).encode(),
            yaml.safe_dump(later).encode(),
        )

    @RUNS
    @hypothesis.given(st.sampled_from(SECTIONS), keys, trees)
    def test_arbitrary_sections(
        self, section: str, name: str, tree: object
    ) -> None:
        text = yaml.safe_dump({section: {name: tree}})
        check_load(sites.SMALL.encode(), text.encode())

    @RUNS
    @hypothesis.given(st.sampled_from(TEXTS), edits)
    def test_mutated_examples(
        self, text: bytes, changes: list[tuple[float, int, bytes]]
    ) -> None:
        for position, removed, piece in changes:
            at = int(position * len(text))
            text = text[:at] + piece + text[at + removed :]
        check_load(text)
