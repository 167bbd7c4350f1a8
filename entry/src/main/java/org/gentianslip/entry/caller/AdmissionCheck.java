package org.gentianslip.entry.caller;

import java.util.Optional;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.KindId;
import org.gentianslip.entry.http.ErrorCode;
import org.gentianslip.entry.http.ErrorReply;
import org.gentianslip.entry.http.Sha256;
import org.gentianslip.entry.state.FleetState;
import org.gentianslip.settings.Customer;
import org.gentianslip.settings.Settings;

/**
 * Checks who sends a request and whether this region may see it.
 *
 * <p>The customer follows from the caller's key alone, and the allowed regions from the settings
 * alone; no other header widens them. Whether a leaving instance takes the request is left to the
 * part that serves it. Safe for use by several threads.
 */
public final class AdmissionCheck {

  private static final String BEARER = "Bearer ";

  private final FleetState state;
  private final EntryDirectory directory;

  /** Creates the check. */
  public AdmissionCheck(FleetState state, EntryDirectory directory) {
    this.state = state;
    this.directory = directory;
  }

  /**
   * Checks a caller's request.
   *
   * @param authorization the header {@code Authorization}, or null
   * @param kindText the header {@code X-Kind}, or null
   */
  public Admission checkCaller(long nowNanos, String authorization, String kindText) {
    Settings settings = state.settings();
    if (!state.informed()) {
      return refuse(ErrorCode.NOT_READY, "This instance has no settings yet.");
    }
    Optional<Customer> customer = customer(settings, authorization);
    if (customer.isEmpty()) {
      return refuse(
          ErrorCode.UNKNOWN_CUSTOMER, "The header Authorization names no known customer's key.");
    }
    Admission admission = check(settings, customer.get(), kindText);
    if (admission instanceof Admission.Admitted admitted && !seesPayload(admitted.settings())) {
      return new Admission.Refused(
          wrongRegion().withEntries(directory.entriesFor(nowNanos, admitted.settings())));
    }
    return admission;
  }

  /** Checks a request that another instance sent for a customer. */
  public Admission checkForwarded(String customerText, String kindText) {
    Settings settings = state.settings();
    if (!state.informed()) {
      return refuse(ErrorCode.NOT_READY, "This instance has no settings yet.");
    }
    Optional<Customer> customer = known(settings, customerText);
    if (customer.isEmpty()) {
      return refuse(ErrorCode.UNKNOWN_CUSTOMER, "The customer is not known here.");
    }
    Admission admission = check(settings, customer.get(), kindText);
    if (admission instanceof Admission.Admitted admitted && !seesPayload(admitted.settings())) {
      return new Admission.Refused(wrongRegion());
    }
    return admission;
  }

  private static Optional<Customer> known(Settings settings, String text) {
    try {
      return Optional.ofNullable(text).flatMap(c -> settings.customer(CustomerId.of(c)));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static Optional<Customer> customer(Settings settings, String authorization) {
    if (authorization == null || !authorization.startsWith(BEARER)) {
      return Optional.empty();
    }
    String key = authorization.substring(BEARER.length());
    return settings.customerByKeyHash(Sha256.hex(key));
  }

  private Admission check(Settings settings, Customer customer, String kindText) {
    Optional<KindId> kind = kind(kindText).filter(k -> settings.declaresKind(customer, k));
    if (kind.isEmpty()) {
      return refuse(
          ErrorCode.UNKNOWN_KIND, "The header X-Kind names no kind of work of this customer.");
    }
    return new Admission.Admitted(
        RequestSettings.of(settings, customer.id(), state.place().region(), kind.get()));
  }

  private static Optional<KindId> kind(String text) {
    try {
      return Optional.ofNullable(text).map(KindId::of);
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private boolean seesPayload(RequestSettings settings) {
    return settings.allowedRegions().contains(state.place().region());
  }

  private static ErrorReply wrongRegion() {
    return ErrorReply.notRun(
        ErrorCode.WRONG_REGION, "The customer's data may not be seen in this region.");
  }

  private static Admission refuse(ErrorCode code, String message) {
    return new Admission.Refused(ErrorReply.notRun(code, message));
  }
}
