package org.gentianslip.load.work;

import org.apache.commons.rng.UniformRandomProvider;
import org.gentianslip.core.id.RequestId;

/**
 * Draws calls from a mix.
 *
 * <p>The same random numbers give the same calls but for the run's name in their ids. Not safe for
 * use by several threads.
 */
public final class CallWriter {

  private static final int PREFIXES_PER_CUSTOMER = 40;
  private static final String[] WORDS = {
    "order", "carton", "ribbon", "drop", "street", "evening", "glaze", "curing", "shelf", "deposit",
    "return", "balloon", "market", "courier", "kiln", "gourd", "stock", "slot", "ledger", "wedding"
  };

  private final Workload workload;
  private final UniformRandomProvider random;
  private final String runName;
  private final double totalWeight;
  private long count;

  /**
   * Makes a writer.
   *
   * @param workload the mix to draw from
   * @param random the source of random numbers
   * @param runName the start of every id
   */
  public CallWriter(Workload workload, UniformRandomProvider random, String runName) {
    this.workload = workload;
    this.random = random;
    this.runName = runName;
    this.totalWeight = workload.totalWeight();
  }

  /** Returns the next call. */
  public CallSpec next() {
    WorkShare share = drawShare();
    RequestId id = RequestId.of(runName + "-" + count++);
    String prompt = share.action().isModel() ? prompt(share, id) : id.value();
    return new CallSpec(id, share, prompt);
  }

  private WorkShare drawShare() {
    double at = random.nextDouble() * totalWeight;
    for (WorkShare share : workload.shares()) {
      at -= share.weight();
      if (at < 0) {
        return share;
      }
    }
    return workload.shares().get(workload.shares().size() - 1);
  }

  private String prompt(WorkShare share, RequestId id) {
    int prefix = random.nextInt(PREFIXES_PER_CUSTOMER);
    StringBuilder text = new StringBuilder(share.sharedCharacters() + id.value().length() + 32);
    text.append(share.customer().value()).append(' ').append(prefix).append(':');
    for (int i = prefix; text.length() < share.sharedCharacters(); i++) {
      text.append(' ').append(WORDS[Math.floorMod(i * (prefix + 1), WORDS.length)]).append(i);
    }
    return text.append(" question ").append(id.value()).toString();
  }
}
