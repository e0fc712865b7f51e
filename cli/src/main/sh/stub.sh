#!/bin/sh
exec java ${MARIGOLDMILL_JAVA_OPTIONS:--Xmx192m -XX:+UseSerialGC} -jar "$0" "$@"
exit 1
