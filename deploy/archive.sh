#!/bin/sh
# Writes target/rushwood.jsa, the classes that a start loads, from one start by the command of balancer.toml with no
# host and no client: a router is then ready in about half the time. Without the archive it is slower, else the same.
run=$(sed -n 's/^run = "exec \(.*\)"$/\1/p' deploy/balancer.toml |
    sed 's/-XX:SharedArchiveFile=/-XX:ArchiveClassesAtExit=/')
NODE_CONFIG=deploy/archive.json timeout -s TERM 3 $run > target/archive.log 2>&1
test -f target/rushwood.jsa || echo "no class archive was written: see target/archive.log"
