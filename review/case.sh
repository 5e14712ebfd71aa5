# Runs one case of the stand-ins: `. review/case.sh; run_case NAME FOLDER`, from a run.sh.
# Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run.

run_case() {
    case_name=$1
    case_folder=$2
    program=target/release/hawthornroute
    driver=target/review/release/review-standins
    for file in "$program" "$driver"; do
        if [ ! -x "$file" ]; then
            echo "$file is missing: run the build of the deploy file and review/build.sh" >&2
            exit 2
        fi
    done
    work=$(mktemp -d) || exit 2
    trap end_case EXIT
    trap 'exit 2' INT TERM HUP
    timeout -k 5 100 "$driver" "$case_name" "$program" "$work" "$case_folder/record.txt" &
    driver_pid=$!
    wait "$driver_pid"
    code=$?
    case $code in
        0 | 1) exit "$code" ;;
        *) exit 2 ;;
    esac
}

# Ends the processes that the case started, by their ids, and removes its temporary folder.
end_case() {
    kill "$driver_pid" 2>/dev/null
    if [ -f "$work/pids" ]; then
        while read -r pid; do
            if [ "$(cat "/proc/$pid/comm" 2>/dev/null)" = hawthornroute ]; then
                kill -9 "$pid" 2>/dev/null
            fi
        done <"$work/pids"
    fi
    rm -rf "$work"
}
