#!/bin/sh
# Prints the command that `run` of balancer.toml puts before java, or nothing where this system has none. It has the JVM read
# SIGHUP also where whoever starts the gateway ignores that signal, as nohup does: the JVM leaves an ignored SIGHUP ignored,
# and a shell cannot undo it. Known to env of GNU coreutils from 8.31 on. Run once, by `build`, since a failed exec is final
# and `run` is to start no process of its own.
if env --default-signal=HUP true 2>/dev/null; then
    echo env --default-signal=HUP
fi
