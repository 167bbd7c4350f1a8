package org.gentianslip.entry.process;

import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;
import org.gentianslip.entry.caller.Admission;
import org.gentianslip.entry.caller.AdmissionCheck;
import org.gentianslip.entry.http.ErrorReply;
import org.gentianslip.entry.http.HeadCheck;
import org.gentianslip.entry.http.HeaderNames;
import org.gentianslip.entry.metrics.EntryMetrics;

/**
 * Refuses a caller's request before its body is read, so that no payload enters a region where it
 * is not allowed.
 *
 * <p>Safe for use by several threads.
 */
record CallerHeadCheck(AdmissionCheck admissionCheck, EntryMetrics metrics) implements HeadCheck {

  private static final String SERVICE_PATH_PREFIX = "/services/";

  /** The common prefix of {@code /v1/chat/completions} and {@code /v1/completions}. */
  private static final String MODEL_PATH_PREFIX = "/v1/c";

  @Override
  public Optional<ErrorReply> refusal(HttpRequest request) {
    if (!request.uri().startsWith(SERVICE_PATH_PREFIX)
        && !request.uri().startsWith(MODEL_PATH_PREFIX)) {
      return Optional.empty();
    }
    Admission admission =
        admissionCheck.checkCaller(
            System.nanoTime(),
            request.headers().get(HeaderNames.AUTHORIZATION),
            request.headers().get(HeaderNames.KIND));
    if (!(admission instanceof Admission.Refused refused)) {
      return Optional.empty();
    }
    metrics.refusedUnranked(refused.reply().code().text());
    boolean ticketed = request.headers().contains(HeaderNames.TICKET);
    return Optional.of(ticketed ? refused.reply().withUnknownOutcome() : refused.reply());
  }
}
