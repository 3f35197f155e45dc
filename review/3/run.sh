#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# What was sent, answered and run is written to record.txt beside this script.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
record="$here/record.txt"
echo "case 3, RepeatAfterWindow, TROUBLE=${TROUBLE:-1}" > "$record" || exit 2
cd "$here/../.." || exit 2
if [ ! -f review/target/standin/standin/RepeatAfterWindow.class ] || [ ! -f gateway/target/ploverdale.jar ]; then
    echo "could not run: the build of the deploy file or review/build.sh has not been run" | tee -a "$record"
    exit 2
fi
exec java -Xmx512m -cp review/target/standin standin.RepeatAfterWindow "$record"
