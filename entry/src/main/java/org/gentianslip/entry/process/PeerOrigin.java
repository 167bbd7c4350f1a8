package org.gentianslip.entry.process;

import io.jooby.Context;
import java.time.Duration;
import org.gentianslip.entry.caller.Admission;
import org.gentianslip.entry.caller.AdmissionCheck;
import org.gentianslip.entry.caller.RequestSettings;
import org.gentianslip.entry.http.ErrorCode;
import org.gentianslip.entry.http.ErrorReply;
import org.gentianslip.entry.http.HeaderNames;

/**
 * Admits requests of other instances by the key that instances share.
 *
 * <p>It checks the allowed regions again by this instance's own settings. Safe for use by several
 * threads.
 */
record PeerOrigin(AdmissionCheck check, SharedKey peerKey) implements RequestRoutes.Origin {

  @Override
  public Admission check(long nowNanos, Context ctx) {
    if (!peerKey.matches(JoobyRequests.header(ctx, HeaderNames.PEER_KEY))) {
      return new Admission.Refused(
          ErrorReply.notRun(ErrorCode.FORBIDDEN, "The header X-Peer-Key is missing or wrong."));
    }
    return check.checkForwarded(
        JoobyRequests.header(ctx, HeaderNames.CUSTOMER),
        JoobyRequests.header(ctx, HeaderNames.KIND));
  }

  @Override
  public Duration remaining(Context ctx, RequestSettings settings) {
    String text = JoobyRequests.header(ctx, HeaderNames.REMAINING_MILLIS);
    try {
      Duration forwarded = Duration.ofMillis(Math.max(0, Long.parseLong(text)));
      return forwarded.compareTo(settings.deadline()) < 0 ? forwarded : settings.deadline();
    } catch (NumberFormatException e) {
      return settings.deadline();
    }
  }

  @Override
  public boolean forwarded() {
    return true;
  }
}
