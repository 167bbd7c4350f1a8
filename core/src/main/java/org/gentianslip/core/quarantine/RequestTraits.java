package org.gentianslip.core.quarantine;

import java.util.List;
import java.util.function.Supplier;
import org.gentianslip.core.load.PromptPart;
import org.gentianslip.core.load.RequestSize;

/**
 * What of a request may crash the engines that run it.
 *
 * <p>The fingerprint is computed when it is first needed. Confined to one thread.
 */
public final class RequestTraits {

  private final RequestSize size;
  private final Supplier<String> fingerprintSource;
  private String fingerprint;

  private RequestTraits(RequestSize size, Supplier<String> fingerprintSource) {
    this.size = size;
    this.fingerprintSource = fingerprintSource;
  }

  /**
   * Returns the traits of a request.
   *
   * @param size the size, with the parts of the prompt
   * @param fingerprintSource returns the {@link RequestFingerprint} of the request
   */
  public static RequestTraits of(RequestSize size, Supplier<String> fingerprintSource) {
    return new RequestTraits(size, fingerprintSource);
  }

  /** Returns the ids of the parts of the prompt that other requests may have too, in order. */
  public List<String> sharedParts() {
    return size.sharedParts().stream().map(PromptPart::id).toList();
  }

  /** Returns the id of the last part of the prompt, or an empty text if there is none. */
  public String prompt() {
    return size.ownPart().map(PromptPart::id).orElse("");
  }

  /** Returns a text that is the same for requests that are alike. */
  public String fingerprint() {
    if (fingerprint == null) {
      fingerprint = fingerprintSource.get();
    }
    return fingerprint;
  }
}
