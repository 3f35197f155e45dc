#!/bin/sh
# Builds the stand-ins of the second review, with the JDK alone and without a network.
# Run it after the build command of deploy/balancer.toml; it may be started from any folder.
set -e
cd "$(dirname "$0")/standin-2"
rm -rf target
mkdir target
javac -d target ./*.java
