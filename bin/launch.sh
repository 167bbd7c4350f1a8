# Sourced by the launchers: builds what is missing and runs one binary.
# Usage: launch MODULE ARTIFACT [ARGUMENT...]
launch() {
  local module=$1 artifact=$2 root jar
  shift 2
  root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
  jar="$root/$module/target/$artifact-0.1.0-SNAPSHOT-all.jar"
  if [ ! -f "$jar" ]; then
    echo "Building $artifact first." >&2
    (cd "$root" && mvn -B -ntp -q package -DskipTests -pl "$module" -am >&2) || exit 1
  fi
  # shellcheck disable=SC2086
  exec java ${GENTIAN_JAVA_OPTS:--Xmx256m} -jar "$jar" "$@"
}
