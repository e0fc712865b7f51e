#!/bin/sh
exec java -XX:+UseG1GC ${MARIGOLDMILL_JAVA_OPTIONS:--Xmx192m} -jar "$0" "$@"
exit 1
