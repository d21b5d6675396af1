# Functions shared by bin/demo and bin/demo-site; to be sourced.

# Waits for a line in a log and prints the value of KEY=value in it. A line without its line feed is still being written
# and is ignored: an address read from an incomplete line could be empty, and the demo would fail on a busy machine.
#   ready LOG LINE-START KEY TENTHS-OF-A-SECOND
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
    echo "timed out waiting for a log line that starts with '$start'" >&2
    return 1
}
