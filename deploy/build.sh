#!/bin/sh
# Installs the gateway's requirements under target/deps and copies the packages there.
set -eu
stamp=target/requirements.installed
if ! cmp -s deploy/requirements.txt "$stamp"; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check \
        --target target/deps -r deploy/requirements.txt
    cp deploy/requirements.txt "$stamp"
fi
for package in kernel routing fleet node; do
    rm -rf "target/deps/lentilshore_$package"
    cp -r "packages/$package/src/lentilshore_$package" target/deps/
done
rm -rf target/deps/lentilshore_platform
cp -r platform/src/lentilshore_platform target/deps/
