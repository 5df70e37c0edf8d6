#!/bin/sh
# Installs the run-time dependencies into target/deps and copies the sources of
# the libraries, the daemon and the platform adapter there.
set -eu
if ! cmp -s deploy/requirements.txt target/.installed; then
    rm -rf target/deps
    python3 -m pip install -q --disable-pip-version-check \
        --target target/deps -r deploy/requirements.txt
    cp deploy/requirements.txt target/.installed
fi
rm -rf target/deps/cowslipstep target/deps/cowslipstep_site
for source in libs/*/src apps/cowslipstepd/src platform/src; do
    cp -R "$source/." target/deps/
done
