package org.gentianslip.core.order;

/** What an order makes an engine do; each type is harmless when it is carried out twice. */
public enum OrderType {
  /** Sets the role. */
  SET_ROLE("set-role", false),
  /** Sets the version of the weights. */
  SET_VERSION("set-version", true),
  /** Loads a model unless it is loaded. */
  LOAD_MODEL("load-model", true),
  /** Loads an adapter unless it is loaded. */
  LOAD_ADAPTER("load-adapter", true);

  private final String text;
  private final boolean readsWeights;

  OrderType(String text, boolean readsWeights) {
    this.text = text;
    this.readsWeights = readsWeights;
  }

  /** Returns the name that engines know. */
  public String text() {
    return text;
  }

  /** Returns whether the engine reads from the weight store to carry out the order. */
  public boolean readsWeights() {
    return readsWeights;
  }
}
