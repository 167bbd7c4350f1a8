package org.gentianslip.settings;

/**
 * Names a place in a settings document. Immutable and safe for use by several threads.
 *
 * @param source the file or key of the document
 * @param pointer the JSON pointer
 */
record Place(String source, String pointer) {

  /** Returns the root of a document. */
  static Place rootOf(String source) {
    return new Place(source, "");
  }

  /** Returns the place of a member of the object at this place. */
  Place at(String key) {
    return new Place(source, pointer + "/" + key.replace("~", "~0").replace("/", "~1"));
  }

  /** Returns the place of an element of the array at this place. */
  Place at(int index) {
    return new Place(source, pointer + "/" + index);
  }

  @Override
  public String toString() {
    return source + ":" + pointer;
  }
}
