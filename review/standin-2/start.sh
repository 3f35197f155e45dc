#!/bin/sh
# start.sh CASE FOLDER: plays a case of the stand-ins here, from the repository's root; FOLDER gets its record.txt.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run.
case=$1
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
classes=review/standin-2/target
if [ ! -f "$classes/Main.class" ] || [ ! -f gateway/target/ploverdale.jar ]; then
    echo "not built: run the build command of deploy/balancer.toml and review/build-2.sh first"
    exit 2
fi
work=$(mktemp -d) || exit 2
java -Xmx512m -cp "$classes" Main "$case" "$folder/record.txt" "$work" &
pid=$!
trap 'kill "$pid" 2>/dev/null' INT TERM HUP
wait "$pid"
code=$?
while kill -0 "$pid" 2>/dev/null; do # a signal ends the wait before the case has ended
    wait "$pid"
done
if [ -f "$work/pids" ]; then # only there if the case was killed outright, before it could end its gateway
    while read -r gateway; do
        kill -KILL "$gateway" 2>/dev/null
    done < "$work/pids"
fi
rm -rf "$work"
[ "$code" -le 2 ] || code=2
exit "$code"
