package org.gentianslip.settings;

/**
 * A location in a settings document. Immutable and safe for use by several threads.
 *
 * @param source the file or key of the document
 * @param pointer the JSON pointer
 */
record Location(String source, String pointer) {

  /** Returns the location of the root of a document. */
  static Location rootOf(String source) {
    return new Location(source, "");
  }

  /** Returns the location of a member of the object at this location. */
  Location at(String key) {
    return new Location(source, pointer + "/" + key.replace("~", "~0").replace("/", "~1"));
  }

  /** Returns the location of an element of the array at this location. */
  Location at(int index) {
    return new Location(source, pointer + "/" + index);
  }

  @Override
  public String toString() {
    return source + ":" + pointer;
  }
}
