package org.gentianslip.load.work;

import java.nio.charset.StandardCharsets;
import org.gentianslip.core.id.RequestId;

/**
 * One call to be made.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the request's id, unique within a run
 * @param share the part of the mix that the call belongs to
 * @param prompt the model's prompt, or the reference that names a service call
 */
public record CallSpec(RequestId id, WorkShare share, String prompt) {

  /** Returns the body of a service call, which no other call has. */
  public byte[] serviceBody() {
    return ("{\"reference\":\"" + prompt + "\"}").getBytes(StandardCharsets.UTF_8);
  }
}
