package org.gentianslip.standin.engine;

import java.util.List;

/**
 * The options of an {@link EngineStandin}. Immutable.
 *
 * @param port the port to listen on, or 0 for a free one
 * @param id the id of the engine
 * @param region the region of the engine
 * @param models the models that are loaded at startup
 * @param slots the maximum number of requests in the batch
 * @param queueLength the maximum number of requests that wait for a slot
 * @param prefillTokensPerSecond the prefill rate for prompt tokens that are not cached
 * @param tokenMillis the time between two tokens of a completion, in milliseconds
 * @param cacheTokens the capacity of the prefix cache, in prompt tokens
 * @param loadLagMillis the interval at which the load report is refreshed, in milliseconds
 * @param loadModelMillis the time that it takes to load a model, in milliseconds
 * @param checksFencing whether orders with a lower fence than an accepted one are refused
 */
public record EngineOptions(
    int port,
    String id,
    String region,
    List<String> models,
    int slots,
    int queueLength,
    double prefillTokensPerSecond,
    double tokenMillis,
    int cacheTokens,
    long loadLagMillis,
    long loadModelMillis,
    boolean checksFencing) {

  /**
   * Checks the options.
   *
   * @throws IllegalArgumentException if a number is out of range
   */
  public EngineOptions {
    models = List.copyOf(models);
    requireAtLeast("slots", slots, 1);
    requireAtLeast("queueLength", queueLength, 0);
    requireAtLeast("tokenMillis", tokenMillis, 0);
    requireAtLeast("cacheTokens", cacheTokens, 0);
    requireAtLeast("loadLagMillis", loadLagMillis, 1);
    requireAtLeast("loadModelMillis", loadModelMillis, 0);
    requireAtLeast("prefillTokensPerSecond", prefillTokensPerSecond, 1);
  }

  /** Returns a builder with the default options. */
  public static Builder builder(String id) {
    return new Builder(id);
  }

  private static void requireAtLeast(String name, double value, double min) {
    if (!(value >= min)) {
      throw new IllegalArgumentException(name + " must be at least " + min + ": " + value);
    }
  }

  /** Builds {@link EngineOptions}. Not safe for use by several threads. */
  public static final class Builder {

    private final String id;
    private int port;
    private String region = "local";
    private List<String> models = List.of("model");
    private int slots = 8;
    private int queueLength = 32;
    private double prefillTokensPerSecond = 50_000;
    private double tokenMillis = 5;
    private int cacheTokens = 65_536;
    private long loadLagMillis = 200;
    private long loadModelMillis = 500;
    private boolean checksFencing = true;

    private Builder(String id) {
      this.id = id;
    }

    /** Sets the port. */
    public Builder port(int value) {
      port = value;
      return this;
    }

    /** Sets the region. */
    public Builder region(String value) {
      region = value;
      return this;
    }

    /** Sets the models that are loaded at startup. */
    public Builder models(List<String> value) {
      models = value;
      return this;
    }

    /** Sets the maximum number of requests in the batch. */
    public Builder slots(int value) {
      slots = value;
      return this;
    }

    /** Sets the maximum number of requests that wait for a slot. */
    public Builder queueLength(int value) {
      queueLength = value;
      return this;
    }

    /** Sets the prefill rate for prompt tokens that are not cached. */
    public Builder prefillTokensPerSecond(double value) {
      prefillTokensPerSecond = value;
      return this;
    }

    /** Sets the time between two tokens, in milliseconds. */
    public Builder tokenMillis(double value) {
      tokenMillis = value;
      return this;
    }

    /** Sets the capacity of the prefix cache, in prompt tokens. */
    public Builder cacheTokens(int value) {
      cacheTokens = value;
      return this;
    }

    /** Sets the interval at which the load report is refreshed, in milliseconds. */
    public Builder loadLagMillis(long value) {
      loadLagMillis = value;
      return this;
    }

    /** Sets the time that it takes to load a model, in milliseconds. */
    public Builder loadModelMillis(long value) {
      loadModelMillis = value;
      return this;
    }

    /** Sets whether orders with a lower fence than an accepted one are refused. */
    public Builder checksFencing(boolean value) {
      checksFencing = value;
      return this;
    }

    /** Builds the options. */
    public EngineOptions build() {
      return new EngineOptions(
          port,
          id,
          region,
          models,
          slots,
          queueLength,
          prefillTokensPerSecond,
          tokenMillis,
          cacheTokens,
          loadLagMillis,
          loadModelMillis,
          checksFencing);
    }
  }
}
