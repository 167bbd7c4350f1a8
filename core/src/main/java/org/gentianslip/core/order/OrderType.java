package org.gentianslip.core.order;

/**
 * The action that an order requests from an engine.
 *
 * <p>Every action is idempotent.
 */
public enum OrderType {
  /** Sets the role. */
  SET_ROLE("set-role", false),
  /** Sets the version of the weights. */
  SET_VERSION("set-version", true),
  /** Loads a model unless it is already loaded. */
  LOAD_MODEL("load-model", true),
  /** Loads an adapter unless it is already loaded. */
  LOAD_ADAPTER("load-adapter", true);

  private final String text;
  private final boolean readsWeights;

  OrderType(String text, boolean readsWeights) {
    this.text = text;
    this.readsWeights = readsWeights;
  }

  /** Returns the name of the type in the engine protocol. */
  public String text() {
    return text;
  }

  /** Returns whether the engine reads from the weight store to execute the order. */
  public boolean readsWeights() {
    return readsWeights;
  }
}
