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
 * Checks who sends a request and whether its payload is allowed in this region.
 *
 * <p>The customer is determined by the caller's key alone, and the allowed regions by the settings
 * alone; no header adds to them. Whether a leaving instance accepts the request is decided by the
 * component that handles it. Safe for use by several threads.
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
    if (!state.isInitialized()) {
      return refuse(ErrorCode.NOT_READY, "This instance has no settings yet.");
    }
    Optional<Customer> customer = customerByAuthorization(settings, authorization);
    if (customer.isEmpty()) {
      return refuse(
          ErrorCode.UNKNOWN_CUSTOMER,
          "The header Authorization does not hold the key of a customer.");
    }
    Admission admission = check(settings, customer.get(), kindText);
    if (admission instanceof Admission.Admitted admitted
        && !mayReceivePayload(admitted.settings())) {
      return new Admission.Refused(
          wrongRegion().withEntries(directory.entriesFor(nowNanos, admitted.settings())));
    }
    return admission;
  }

  /**
   * Checks a request that another instance forwarded for a customer.
   *
   * @param customerText the header {@code X-Customer}, or null
   * @param kindText the header {@code X-Kind}, or null
   */
  public Admission checkForwarded(String customerText, String kindText) {
    Settings settings = state.settings();
    if (!state.isInitialized()) {
      return refuse(ErrorCode.NOT_READY, "This instance has no settings yet.");
    }
    Optional<Customer> customer = customerById(settings, customerText);
    if (customer.isEmpty()) {
      return refuse(ErrorCode.UNKNOWN_CUSTOMER, "The customer is not known to this instance.");
    }
    Admission admission = check(settings, customer.get(), kindText);
    if (admission instanceof Admission.Admitted admitted
        && !mayReceivePayload(admitted.settings())) {
      return new Admission.Refused(wrongRegion());
    }
    return admission;
  }

  private static Optional<Customer> customerById(Settings settings, String customerText) {
    try {
      return Optional.ofNullable(customerText).flatMap(c -> settings.customer(CustomerId.of(c)));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static Optional<Customer> customerByAuthorization(
      Settings settings, String authorization) {
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
          ErrorCode.UNKNOWN_KIND,
          "The header X-Kind does not name a kind of work of this customer.");
    }
    return new Admission.Admitted(
        RequestSettings.of(settings, customer.id(), state.config().region(), kind.get()));
  }

  private static Optional<KindId> kind(String kindText) {
    try {
      return Optional.ofNullable(kindText).map(KindId::of);
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private boolean mayReceivePayload(RequestSettings settings) {
    return settings.allowedRegions().contains(state.config().region());
  }

  private static ErrorReply wrongRegion() {
    return ErrorReply.notRun(
        ErrorCode.WRONG_REGION, "The customer's data is not allowed in this region.");
  }

  private static Admission refuse(ErrorCode code, String message) {
    return new Admission.Refused(ErrorReply.notRun(code, message));
  }
}
