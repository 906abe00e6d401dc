#!/usr/bin/env python3
"""Runs clang-tidy over all sources of the tree.

A source without findings is not checked again until one of its inputs changes: the compile command, the contents of
the file and of all headers that it includes, the linter's version and its configuration. LINT_CACHE names the folder
that records clean sources; with an empty LINT_CACHE all sources are checked.
"""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import re
import shlex
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEFAULT_CACHE = pathlib.Path.home() / ".cache" / "citroncrank-lint"
MAX_SHOWN_LINES = 60


def file_hash(path, known={}):
    if path not in known:
        known[path] = hashlib.sha256(pathlib.Path(path).read_bytes()).hexdigest()
    return known[path]


def dependencies(entry):
    """Returns the files that the compiler reads for the source, itself included. None if the compiler fails."""
    words = shlex.split(entry["command"])
    while words and os.path.basename(words[0]) == "ccache":
        words = words[1:]
    output = words.index("-o")
    words = ["clang++", "-M", "-w"] + words[1:output] + words[output + 2:]
    words.remove("-c")
    result = subprocess.run(words, cwd=entry["directory"], capture_output=True, text=True)
    if result.returncode != 0:
        return None
    listed = result.stdout.replace("\\\n", " ").split(":", 1)[1]
    return [os.path.join(entry["directory"], name) for name in listed.split()]


def cache_key(entry, tool):
    files = dependencies(entry)
    if files is None:
        return None
    parts = [tool, entry["command"]] + [f"{name} {file_hash(name)}" for name in files]
    # Without the root folder in the key, clones in other folders share the cached results.
    return hashlib.sha256("\n".join(parts).replace(str(ROOT), "").encode()).hexdigest()


def lint(entry, build, tool, cache):
    key = cache_key(entry, tool) if cache else None
    if key and (cache / key).exists():
        return entry["file"], True, "", False
    result = subprocess.run(["clang-tidy", "-quiet", "-p", str(build), entry["file"]], capture_output=True, text=True)
    is_clean = result.returncode == 0
    if is_clean and key:
        (cache / key).touch()
    return entry["file"], is_clean, result.stdout + result.stderr, True


def main():
    build = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else "build").resolve()
    folder = os.environ.get("LINT_CACHE", str(DEFAULT_CACHE))
    cache = pathlib.Path(folder) if folder else None
    if cache:
        cache.mkdir(parents=True, exist_ok=True)
    jobs = int(os.environ.get("LINT_JOBS", os.cpu_count()))
    version = subprocess.run(["clang-tidy", "--version"], capture_output=True, text=True, check=True).stdout
    tool = version + (ROOT / ".clang-tidy").read_text()
    wanted = re.compile(re.escape(str(ROOT)) + r"/(src|platform)/.*\.cpp$")
    entries = [e for e in json.loads((build / "compile_commands.json").read_text()) if wanted.match(e["file"])]
    if not entries:
        print(f"lint: no sources in {build}/compile_commands.json")
        return 1
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        results = list(pool.map(lambda entry: lint(entry, build, tool, cache), entries))
    failed = [(name, text) for name, is_clean, text, _ in results if not is_clean]
    checked = sum(1 for *_, ran in results if ran)
    lines = sorted({line for _, text in failed for line in text.splitlines() if re.search("(warning|error):", line)})
    print("\n".join(lines[:MAX_SHOWN_LINES]))
    for name, text in failed:
        if not re.search("(warning|error):", text):
            print(f"lint: clang-tidy failed on {name}: {text.strip()[-500:]}")
    if failed:
        print(f"lint: {len(failed)} of {len(entries)} sources have faults")
        return 1
    print(f"lint: clean, {len(entries)} sources, {checked} of them checked now")
    return 0


if __name__ == "__main__":
    sys.exit(main())
