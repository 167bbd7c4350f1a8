package org.gentianslip.settings;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A setting of the catalog, defined by its type, default and description.
 *
 * <p>The default is an allowed value, except for a set of regions, whose default is empty.
 * Immutable and safe for use by several threads.
 *
 * @param <T> the type of the value
 */
final class DeclaredSetting<T> implements Setting<T> {

  private final String name;
  private final int index;
  private final ValueType<T> type;
  private final SettingGranularity granularity;
  private final T defaultValue;
  private final String description;

  private DeclaredSetting(
      String name,
      int index,
      ValueType<T> type,
      SettingGranularity granularity,
      T defaultValue,
      String description) {
    this.name = name;
    this.index = index;
    this.type = type;
    this.granularity = granularity;
    this.defaultValue = defaultValue;
    this.description = description;
  }

  /** Creates a setting. */
  static <T> DeclaredSetting<T> of(
      String name,
      int index,
      ValueType<T> type,
      SettingGranularity granularity,
      T defaultValue,
      String description) {
    return new DeclaredSetting<>(name, index, type, granularity, defaultValue, description);
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public int index() {
    return index;
  }

  @Override
  public SettingGranularity granularity() {
    return granularity;
  }

  @Override
  public T defaultValue() {
    return defaultValue;
  }

  @Override
  public String unit() {
    return type.unit();
  }

  @Override
  public String allowed() {
    return type.allowed();
  }

  @Override
  public String description() {
    return description;
  }

  @Override
  public T read(JsonNode node) {
    try {
      return type.read(node);
    } catch (IllegalArgumentException e) {
      throw new IllegalArgumentException(
          name + " must be " + type.allowed() + ", but is " + Excerpt.of(node), e);
    }
  }

  @Override
  public JsonNode write(T value) {
    return type.write(value);
  }

  @Override
  public String toString() {
    return name;
  }
}
