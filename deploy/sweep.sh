#!/usr/bin/env bash
# Scaling sweep: one day of each deployment at 30, 100 and 300 hosts, as a table for
# docs/CAPACITY.md.
#
#   deploy/sweep.sh BENCH OUT SITE...
#
# BENCH is the program that runs days, OUT a directory outside the repository for its output,
# SITE a deployment's file. A deployment with a result in OUT is skipped. JOBS is an optional
# variable. A deployment takes about two minutes with 3 jobs on 6 cores. Prints, for each row,
# the busiest host at the three sizes, the exponent of its growth with the number of hosts, and
# the value extrapolated to the planned size. Exits with 1 if a day breaks a rule.
set -euo pipefail
bench=$(realpath "$1") out=$2
shift 2
mkdir -p "$out"
broken=0
for site in "$@"; do
  name=$(basename "$site" .toml)
  file=$out/sweep-$name.txt
  [ -s "$file" ] || {
    "$bench" sweep "$(realpath "$site")" --jobs "${JOBS:-3}" --why "slopes" > "$file.part" 2>&1
    mv "$file.part" "$file"
  }
  if grep -q '^rules broken: ' "$file"; then broken=1; fi
  printf '\n| %s | 30 | 100 | 300 | power | carried on |\n|---|---|---|---|---|---|\n' "$name"
  # Fields of a day's line: name, own/targets, score, worth, served.
  awk '/^sweep-[0-9]+ +[0-9]+\// {worth = worth " | " $4; served = served " | " $5}
       END {print "| worth of the day" worth " | | |"; print "| served" served " | | |"}' "$file"
  awk '/^middle \/ busiest/ {rows = 1; getline; next}
       /^power:/ {rows = 0}
       rows && NF > 7 {
         last = $NF; power = $(NF - 1); label = ""; busiest = ""
         for (i = 1; i < NF - 1; i++) {
           if ($i == "/") {busiest = busiest " | " $(i + 1); i++; seen = 1}
           else if ($(i + 1) != "/") label = label (label == "" ? "" : " ") $i
         }
         print "| " label busiest " | " power " | " last " |"
       }' "$file"
done
exit "$broken"
