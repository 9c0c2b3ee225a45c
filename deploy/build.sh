# Puts pinned libraries and this project's packages into target/deps.
set -eu
deps=target/deps
if [ ! -f "$deps/.pinned" ] || ! cmp -s deploy/requirements.txt "$deps/.pinned"; then
    rm -rf "$deps"
    python3 -m pip install --quiet --no-warn-script-location --target "$deps" \
        --constraint constraints.txt --requirement deploy/requirements.txt
    cp deploy/requirements.txt "$deps/.pinned"
fi
for package in pomeloglade pomeloglade_coordination pomeloglade_platform; do
    rm -rf "${deps:?}/$package"
done
cp -R packages/pomeloglade/src/pomeloglade "$deps/"
cp -R packages/pomeloglade-coordination/src/pomeloglade_coordination "$deps/"
cp -R platform/pomeloglade_platform "$deps/"
python3 -m compileall -q "$deps"
