#!/bin/sh
# Builds the stand-ins of the cases, from any folder, with the JDK alone: into review/target/standin.
cd "$(dirname "$0")/.." || exit 2
rm -rf review/target/standin
mkdir -p review/target/standin
exec javac --release 17 -d review/target/standin review/standin/*.java
