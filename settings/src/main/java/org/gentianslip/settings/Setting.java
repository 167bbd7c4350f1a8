package org.gentianslip.settings;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Declares one value of the settings tree.
 *
 * <p>The declaration serves validation, documentation and help alike. Implementations are immutable
 * and safe for use by several threads. Two settings are equal only if they are the same object.
 *
 * @param <T> the type of the value
 */
public interface Setting<T> {

  /** Returns the key in a branch's {@code values}, with its unit as the last word. */
  String name();

  /** Returns the place in {@link SettingCatalog#all()}, from 0. */
  int index();

  /**
   * Returns for what the value holds; values for instances come from {@link
   * Settings#effectiveForInstance}.
   */
  SettingReach reach();

  /** Returns the value that holds where no branch sets one. */
  T defaultValue();

  /** Returns the unit, such as {@code "milliseconds"}; empty if the value has none. */
  String unit();

  /** Returns what is allowed, as a phrase such as {@code "a whole number from 1 to 600000"}. */
  String allowed();

  /** Returns one sentence that tells an operator what the value does. */
  String description();

  /**
   * Reads a value.
   *
   * @throws IllegalArgumentException if the value is not allowed; the message quotes it
   */
  T read(JsonNode node);

  /** Returns the value as it is written in a document. */
  JsonNode write(T value);
}
