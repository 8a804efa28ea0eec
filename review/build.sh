#!/bin/sh
# Builds the stand-ins and the cases. It needs the JDK only and follows the build of deploy/balancer.toml.
set -e
cd "$(dirname "$0")"
rm -rf classes
mkdir classes
javac -encoding UTF-8 -Xlint:all -d classes src/review/*.java
