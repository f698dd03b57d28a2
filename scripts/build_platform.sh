#!/usr/bin/env bash
# Puts the packages that an entry node on the platform needs, and their
# requirements, under target/deps. The project's own packages are pure Python
# and are copied, so that no build tool is needed.
set -eu
cd "$(dirname "$0")/.."
deps=target/deps
stamp=$deps/.installed
if [ ! -e "$stamp" ] || [ requirements/platform.txt -nt "$stamp" ]; then
    python3 -m pip install --quiet --disable-pip-version-check --upgrade \
        --target "$deps" -r requirements/platform.txt
    touch "$stamp"
fi
for package in packages/limpetwalk/limpetwalk \
    packages/limpetwalk-node/limpetwalk_node platform/limpetwalk_platform; do
    rm -rf "$deps/$(basename "$package")"
    cp -Rp "$package" "$deps/"
done
python3 -m compileall -q "$deps/limpetwalk" "$deps/limpetwalk_node" \
    "$deps/limpetwalk_platform"
