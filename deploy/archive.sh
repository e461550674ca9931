#!/bin/sh
# Writes target/rushwood.jsa, the classes that a start loads, from one start with no host and no client: a router
# is then ready in about half the time. One without the archive is slower and otherwise the same.
NODE_CONFIG=deploy/archive.json timeout -s TERM 3 java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
    -Dio.netty.jfr.enabled=false -Dio.netty.machineId=00:00:00:00:00:00:00:01 -Dio.netty.processId=1 \
    -XX:ArchiveClassesAtExit=target/rushwood.jsa -jar target/rushwood.jar serve > target/archive.log 2>&1
test -f target/rushwood.jsa || echo "no class archive was written: see target/archive.log"
