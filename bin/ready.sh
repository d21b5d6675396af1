# Functions that bin/demo and bin/demo-site share; to be sourced.

# Waits for a line in a log and prints what stands behind a word in it. A line that is not written whole yet has no end,
# and is not read: cut out of its beginning, an address would be empty, and the demo would fail on a busy machine.
#   ready LOG LINE-START WORD TENTHS-OF-A-SECOND
ready() {
    local log=$1 start=$2 word=$3 tries=$4 line
    for _ in $(seq "$tries"); do
        while IFS= read -r line; do
            case "$line" in
                "$start"*)
                    sed -n "s/.* $word=\([^ ]*\).*/\1/p" <<<"$line"
                    return 0 ;;
            esac
        done < <(cat "$log" 2>/dev/null)
        sleep 0.1
    done
    echo "no line '$start' in time" >&2
    return 1
}
