package org.gentianslip.settings;

/**
 * The values in force for one customer, region and kind of work.
 *
 * <p>Implementations are immutable and safe for use by several threads.
 */
public interface EffectiveSettings {

  /** Returns the value in force of a setting. */
  <T> T get(Setting<T> setting);

  /** Returns the id of the branch that set the value, or {@code "default"}. */
  String origin(Setting<?> setting);
}
