#!/bin/sh
# Compiles the stand-ins and the cases 6 to 10 of the second review into review/standin-2/target. Needs a JDK 17 and no
# network. The router itself is built by the build line of deploy/balancer.toml.
set -e
cd "$(dirname "$0")"
rm -rf standin-2/target
mkdir -p standin-2/target/classes
javac --release 17 -Xlint:all,-serial -d standin-2/target/classes standin-2/*.java [0-9]*/src/*.java
