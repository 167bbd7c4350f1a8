package org.gentianslip.load.work;

import org.apache.commons.rng.UniformRandomProvider;
import org.gentianslip.core.id.RequestId;

/**
 * Generates random calls of a workload.
 *
 * <p>The same random numbers give the same calls, except for the prefix of their ids. Not
 * thread-safe.
 */
public final class CallGenerator {

  private static final int PREFIXES_PER_CUSTOMER = 40;
  private static final String[] WORDS = {
    "order", "carton", "ribbon", "drop", "street", "evening", "glaze", "curing", "shelf", "deposit",
    "return", "balloon", "market", "courier", "kiln", "gourd", "stock", "slot", "ledger", "wedding"
  };

  private final Workload workload;
  private final UniformRandomProvider random;
  private final String idPrefix;
  private final double totalWeight;
  private long count;

  /**
   * Creates a generator.
   *
   * @param workload the workload to generate calls of
   * @param random the source of random numbers
   * @param idPrefix the prefix of every request id
   */
  public CallGenerator(Workload workload, UniformRandomProvider random, String idPrefix) {
    this.workload = workload;
    this.random = random;
    this.idPrefix = idPrefix;
    this.totalWeight = workload.totalWeight();
  }

  /** Returns the next call. */
  public CallSpec next() {
    WorkloadShare share = pickShare();
    RequestId id = RequestId.of(idPrefix + "-" + count++);
    String prompt = share.action().isModel() ? prompt(share, id) : id.value();
    return new CallSpec(id, share, prompt);
  }

  private WorkloadShare pickShare() {
    double remaining = random.nextDouble() * totalWeight;
    for (WorkloadShare share : workload.shares()) {
      remaining -= share.weight();
      if (remaining < 0) {
        return share;
      }
    }
    return workload.shares().get(workload.shares().size() - 1);
  }

  private String prompt(WorkloadShare share, RequestId id) {
    int prefixIndex = random.nextInt(PREFIXES_PER_CUSTOMER);
    StringBuilder text = new StringBuilder(share.sharedCharacters() + id.value().length() + 32);
    text.append(share.customer().value()).append(' ').append(prefixIndex).append(':');
    for (int i = prefixIndex; text.length() < share.sharedCharacters(); i++) {
      text.append(' ').append(WORDS[Math.floorMod(i * (prefixIndex + 1), WORDS.length)]).append(i);
    }
    return text.append(" question ").append(id.value()).toString();
  }
}
