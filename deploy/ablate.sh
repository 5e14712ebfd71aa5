#!/usr/bin/env bash
# Ablation of the mechanisms of `route`: runs days with and without each, paired by seed.
#
#   deploy/ablate.sh BENCH OUT SITE... [-- ROW...]
#
# BENCH is the program that runs days, OUT a directory outside the repository, SITE a
# deployment's file. Without ROW all rows run. DAYS, SEEDS and JOBS are optional variables.
# A day with a result in OUT is skipped, so that an interrupted run can be resumed and a
# row can be added. A row of one small site (five days, three seeds) takes about 25 s with
# 7 jobs on 8 cores, all rows of one site about 8 minutes. Prints the table at the end,
# also when no day is left to run.
set -euo pipefail
bench=$(realpath "$1") out=$2
shift 2
sites=()
while [ $# -gt 0 ] && [ "$1" != -- ]; do sites+=("$(realpath "$1")"); shift; done
[ $# -gt 0 ] && shift
wanted=" $* "
days=${DAYS:-trouble-1 trouble-2 trouble-3 scale-1 scale-2}
seeds=${SEEDS:-11 12 13}
jobs=${JOBS:-7}
rows='
as-it-is|
departure|[policy.departure] on = false
zone-cost|[policy.placing] zone_cost_ms = 0; zone_aim_share = 0.0
suspicion|[policy.placing] suspect_cost_ms = 0
passing-over-failures|[policy.placing] failing_cost_ms = 0
cold-targets|[policy.placing] cold_factor = 1.0
second-attempts|[policy.second_attempts] on = false
room-for-second|[policy.second_attempts] needs_room = false
skipping|[policy.skipping] on = false
door|[policy.admission] on = false
urgency|[policy.admission] ordinary_share = 1.0
gatherers|[policy.gatherers] on = false
silent-peers|[policy.gatherers] replaces_silent = false
part-answers|[policy.gathering] part_answers = false
beyond-aim|[policy.gathering] beyond_aim = false
stepping-aside|[policy.zones] step_aside = false; while_in_doubt = false
while-in-doubt|[policy.zones] while_in_doubt = false
leaving-targets|[policy.targets] last_use_ms = 0
held-answers|[policy.answers] held_kb = 1
'
root=$(git rev-parse --show-toplevel)
mkdir -p "$out"
tree=$out/tree
if [ ! -d "$tree" ]; then
  git clone --quiet "$root" "$tree"
  (cd "$tree" && "$bench" build > "$out/build.txt" 2>&1)
fi
template=$tree/platform/settings.toml
git -C "$tree" checkout --quiet platform/settings.toml
cp "$template" "$out/template.toml"
run_day() { # ROW SITE DAY SEED
  local to="$out/$1/$(basename "$2" .toml)-$3-$4.txt"
  [ -s "$to" ] && return
  (cd "$tree" && "$bench" run "$2" "$3" --seed "$4" --jobs 1 --why "ablation: $1") > "$to.part" 2>&1 \
    || echo "$1 $2 $3 $4: exited with $?" >&2
  mv "$to.part" "$to"
}
export -f run_day
export out tree bench
while IFS='|' read -r row policy; do
  [ -z "$row" ] && continue
  [ "$wanted" != "  " ] && [ "$row" != as-it-is ] && [[ "$wanted" != *" $row "* ]] && continue
  mkdir -p "$out/$row"
  { cat "$out/template.toml"; echo; sed 's/\] /]\n/; s/; /\n/g' <<< "$policy"; } > "$template"
  for site in "${sites[@]}"; do for day in $days; do for seed in $seeds; do
    echo "$row $site $day $seed"
  done; done; done | xargs -P "$jobs" -L 1 bash -c 'run_day "$@"' _
done <<< "$rows"
cp "$out/template.toml" "$template"
cp -rn "$tree"/journal/* "$root"/journal/
# Switched off against on: mean difference and half-width of its 95 % confidence interval
# over the pairs (two-sided t).
for site in "${sites[@]}"; do
  name=$(basename "$site" .toml)
  printf '\n%s\n%-22s %8s %8s %8s %7s %7s %6s\n' \
    "$name" 'switched off' worth less +- served broken pairs
  while IFS='|' read -r row _; do
    compgen -G "$out/$row/$name-*.txt" > /dev/null || continue
    for file in "$out/$row/$name"-*.txt; do
      base="$out/as-it-is/$(basename "$file")"
      figures() { awk '/^worth [0-9]/ {w = $2} /^day /{getline; s = $5} END {print w, s}' "$1"; }
      broken=$(grep -c '^rules broken: [A-Z]' "$file" || true)
      echo "$(figures "$base") $(figures "$file") $broken"
    done | awk -v row="$row" '
      NF == 5 {n++; d = $1 - $3; sum += d; square += d * d; worth += $3; served += $4; broken += $5}
      END {
        if (n < 2) {printf "%-22s too few pairs: %d\n", row, n; exit}
        mean = sum / n; sd = sqrt((square - n * mean * mean) / (n - 1))
        t = n > 25 ? 2.06 : n > 12 ? 2.16 : n > 8 ? 2.31 : n > 4 ? 2.78 : 4.3
        printf "%-22s %8.3f %8.3f %8.3f %7.3f %7d %6d\n", \
          row, worth / n, mean, t * sd / sqrt(n), served / n, broken, n
      }'
  done <<< "$rows"
done
