package org.gentianslip.load.work;

import java.nio.charset.StandardCharsets;
import org.gentianslip.core.id.RequestId;

/**
 * A call to make.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the id of the request, unique within a run
 * @param share the share of the workload to which the call belongs
 * @param prompt the prompt for a model, or the reference that identifies a service call
 */
public record CallSpec(RequestId id, WorkloadShare share, String prompt) {

  /** Returns the body of a service call, which is unique to this call. */
  public byte[] serviceBody() {
    return ("{\"reference\":\"" + prompt + "\"}").getBytes(StandardCharsets.UTF_8);
  }
}
