# Sourced by the launchers: builds what is missing and runs one binary.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)

# Usage: jar_of MODULE ARTIFACT
jar_of() {
  echo "$root/$1/target/$2-0.1.0-SNAPSHOT-all.jar"
}

# Usage: build MODULE ARTIFACT
build() {
  if [ -f "$(jar_of "$1" "$2")" ]; then
    return
  fi
  echo "Building $2 first." >&2
  (cd "$root" && mvn -B -ntp -q package -DskipTests -pl "$1" -am >&2) || exit 1
}

# Usage: launch MODULE ARTIFACT [ARGUMENT...]
launch() {
  local module=$1 artifact=$2
  shift 2
  build "$module" "$artifact"
  # shellcheck disable=SC2086
  exec java ${GENTIAN_JAVA_OPTS:--Xmx256m} -jar "$(jar_of "$module" "$artifact")" "$@"
}
