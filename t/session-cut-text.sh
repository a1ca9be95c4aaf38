#!/bin/sh
# Guards against texts from outside that are cut without a word: where they
# enter, a copy that does not fit is refused (kq_text_copy), never shortened.
set -u
cd "$(dirname "$0")/.." || exit 1
found=$(grep -nE '^ +snprintf \(' -A2 platform/*.c \
  | grep -E '"%s"' | grep -vE 'kq_log|PRI')
if [ -z "$found" ]; then
  echo 'session-cut-text: 1 passed, 0 failed'
  exit 0
fi
echo "FAILED: a copy of a text whose length is not checked:"
echo "$found"
echo 'session-cut-text: 0 passed, 1 failed'
exit 1
