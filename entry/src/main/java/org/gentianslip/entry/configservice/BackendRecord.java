package org.gentianslip.entry.configservice;

import java.util.List;

/**
 * A backend server in the instance list.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the id of the backend server
 * @param region the region of the backend server
 * @param dataCentre the data centre of the backend server
 * @param address its address, as {@code IP:PORT}
 * @param type {@code model} or {@code service}
 * @param models the models that a model engine serves
 * @param service the service that it provides, or null for a model engine
 * @param slots the maximum number of requests that a model engine runs concurrently
 * @param checksFencing whether it refuses orders with an outdated fencing number
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

  /** Returns whether this backend server is a model engine. */
  public boolean model() {
    return "model".equals(type);
  }
}
