package org.gentianslip.settings;

/**
 * Holds a value together with its place in a document.
 *
 * <p>Immutable and safe for use by several threads if the value is.
 *
 * @param <T> the type of the value
 * @param place the place
 * @param value the value
 */
record Located<T>(Place place, T value) {}
