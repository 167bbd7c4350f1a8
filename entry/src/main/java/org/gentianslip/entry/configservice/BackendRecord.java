package org.gentianslip.entry.configservice;

import java.util.List;

/**
 * Describes a backend server as the platform lists it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the id of the backend server
 * @param region its region
 * @param dataCentre its data centre
 * @param address where it listens, as {@code IP:PORT}
 * @param type {@code model} or {@code service}
 * @param models the models of a model engine
 * @param service the service that it runs, or null
 * @param slots the greatest number of requests that a model engine runs at once
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param state {@code live} or {@code leaving}
 */
public record BackendRecord(
    String id,
    String region,
    String dataCentre,
    String address,
    String type,
    List<String> models,
    String service,
    int slots,
    boolean checksFencing,
    String state) {

  /** Copies the list of models. */
  public BackendRecord {
    models = models == null ? List.of() : List.copyOf(models);
  }

  /** Returns whether the list marks the backend server as live. */
  public boolean live() {
    return "live".equals(state);
  }

  /** Returns whether this is a model engine. */
  public boolean model() {
    return "model".equals(type);
  }
}
