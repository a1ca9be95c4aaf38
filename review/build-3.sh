#!/bin/sh
# Builds the stand-ins of the third review into target/review-3/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
# shellcheck disable=SC2046
${CC:-gcc} -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE review/standin-3/*.c \
  -o target/review-3/rv $(pkg-config --cflags --libs jansson libsodium)
