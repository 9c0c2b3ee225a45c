# Puts pinned libraries and this project's packages into target/deps.
set -eu
deps=target/deps
sources="packages/pomeloglade/src/pomeloglade
packages/pomeloglade-coordination/src/pomeloglade_coordination
platform/pomeloglade_platform"

if [ ! -f "$deps/.pinned" ] || ! cmp -s deploy/requirements.txt "$deps/.pinned"; then
    rm -rf "$deps"
    python3 -m pip install --quiet --no-warn-script-location --target "$deps" \
        --constraint constraints.txt --requirement deploy/requirements.txt
    cp deploy/requirements.txt "$deps/.pinned"
fi

# Processes may be running from target/deps, so it is left alone if it is current.
# shellcheck disable=SC2086
find $sources -name '*.py' -exec cksum {} + | sort >target/sources.new
if cmp -s target/sources.new target/sources; then
    exit 0
fi
for source in $sources; do
    package="$deps/$(basename "$source")"
    rm -rf "$package"
    cp -R "$source" "$package"
done
python3 -m compileall -q "$deps"
mv target/sources.new target/sources
