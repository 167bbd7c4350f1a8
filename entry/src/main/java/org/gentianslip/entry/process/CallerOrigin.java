package org.gentianslip.entry.process;

import io.jooby.Context;
import java.time.Duration;
import org.gentianslip.entry.caller.Admission;
import org.gentianslip.entry.caller.AdmissionCheck;
import org.gentianslip.entry.caller.RequestSettings;
import org.gentianslip.entry.http.HeaderNames;

/** Admits callers by their customer's key. Safe for use by several threads. */
record CallerOrigin(AdmissionCheck check) implements RequestRoutes.Origin {

  @Override
  public Admission check(long nowNanos, Context ctx) {
    return check.checkCaller(
        nowNanos,
        JoobyRequests.header(ctx, HeaderNames.AUTHORIZATION),
        JoobyRequests.header(ctx, HeaderNames.KIND));
  }

  @Override
  public Duration remaining(Context ctx, RequestSettings settings) {
    return settings.deadline();
  }

  @Override
  public boolean forwarded() {
    return false;
  }
}
