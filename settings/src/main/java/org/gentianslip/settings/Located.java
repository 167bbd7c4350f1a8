package org.gentianslip.settings;

/**
 * A value together with its location in a document.
 *
 * <p>Immutable and safe for use by several threads if the value is.
 *
 * @param <T> the type of the value
 * @param location the location of the value
 * @param value the value
 */
record Located<T>(Location location, T value) {}
