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
record PeerDoor(AdmissionCheck check, SharedKey key) implements RequestPorts.Door {

  @Override
  public Admission check(long nowNanos, Context ctx) {
    if (!key.matches(IncomingRequest.header(ctx, HeaderNames.PEER_KEY))) {
      return new Admission.Refused(
          ErrorReply.notRun(ErrorCode.FORBIDDEN, "The header X-Peer-Key is missing or wrong."));
    }
    return check.checkForwarded(
        IncomingRequest.header(ctx, HeaderNames.CUSTOMER),
        IncomingRequest.header(ctx, HeaderNames.KIND));
  }

  @Override
  public Duration remaining(Context ctx, RequestSettings settings) {
    String text = IncomingRequest.header(ctx, HeaderNames.REMAINING_MILLIS);
    try {
      Duration told = Duration.ofMillis(Math.max(0, Long.parseLong(text)));
      return told.compareTo(settings.deadline()) < 0 ? told : settings.deadline();
    } catch (NumberFormatException e) {
      return settings.deadline();
    }
  }

  @Override
  public boolean forwarded() {
    return true;
  }
}
