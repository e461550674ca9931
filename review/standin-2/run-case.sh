#!/bin/sh
# Runs a case: run-case.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$1
root=$(cd "$folder/../.." && pwd) || exit 2
classes=$root/review/standin-2/target/classes
if [ ! -f "$classes/$2.class" ] || [ ! -f "$root/router/target/rushwood.jar" ]; then
    echo "run the build line of deploy/balancer.toml and review/build-2.sh first" >&2
    exit 2
fi
timeout -k 5 110 java -cp "$classes" "$2" "$root" "$folder/record.txt"
status=$?
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
