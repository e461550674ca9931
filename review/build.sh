#!/bin/sh
# Builds the stand-ins of the review cases, with the JDK alone. Run it after the build of
# deploy/balancer.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/standin/target
javac -Xlint:all -d review/standin/target review/standin/*.java review/[0-9]*/*.java
