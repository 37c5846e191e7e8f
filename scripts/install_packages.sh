#!/bin/sh
# Installs the Debian packages named as arguments, and does nothing if all of them are present,
# so that repeated builds need neither root nor the package mirror.
set -eu
missing=""
for package in "$@"; do
    if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
        missing="$missing $package"
    fi
done
[ -z "$missing" ] && exit 0
echo "installing:$missing"
apt-get update -q
# shellcheck disable=SC2086 # the list is split into words on purpose
DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends $missing
