package org.gentianslip.settings;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A setting that branches of the settings tree can set.
 *
 * <p>It is the basis of validation, documentation and command line help. Implementations are
 * immutable and safe for use by several threads. Two settings are equal only if they are the same
 * object.
 *
 * @param <T> the type of the value
 */
public interface Setting<T> {

  /** Returns the key in a branch's {@code values}, with its unit as the last word. */
  String name();

  /** Returns the position in {@link SettingCatalog#all()}, counted from 0. */
  int index();

  /**
   * Returns the granularity; {@link Settings#effectiveForInstance} gives the values of whole
   * instances.
   */
  SettingGranularity granularity();

  /** Returns the value that is in force if no branch sets one. */
  T defaultValue();

  /** Returns the unit, such as {@code "milliseconds"}; empty if the value has none. */
  String unit();

  /** Returns the allowed values, as a phrase such as {@code "a whole number from 1 to 600000"}. */
  String allowed();

  /** Returns one sentence for operators that describes the effect of the setting. */
  String description();

  /**
   * Converts a value from the JSON form that documents use.
   *
   * @throws IllegalArgumentException if the value is not allowed; the message quotes it
   */
  T read(JsonNode node);

  /** Converts a value to the JSON form that documents use. */
  JsonNode write(T value);
}
