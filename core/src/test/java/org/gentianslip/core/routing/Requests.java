package org.gentianslip.core.routing;

import java.util.Set;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.KindId;
import org.gentianslip.core.id.ModelId;
import org.gentianslip.core.id.Rank;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.RequestId;

/** Makes requests for tests. Stateless and safe for use by several threads. */
public final class Requests {

  /** The model that all requests name. */
  public static final ModelId MODEL = ModelId.of("summary");

  /** The region that may see all requests. */
  public static final RegionId HOME = RegionId.of("north");

  private Requests() {}

  /** Returns a request with equal work, as the other parts don't matter. */
  public static RoutingRequest of(String id, String customer, Rank rank, long deadlineNanos) {
    return new RoutingRequest(
        RequestId.of(id),
        CustomerId.of(customer),
        KindId.of("kind"),
        rank,
        MODEL,
        customer.hashCode(),
        160,
        89,
        0,
        deadlineNanos,
        Set.of(HOME, RegionId.of("south")),
        false);
  }

  /** Returns a request with the given prefix. */
  public static RoutingRequest withPrefix(String id, long prefix, boolean forwarded) {
    return new RoutingRequest(
        RequestId.of(id),
        CustomerId.of("shop"),
        KindId.of("kind"),
        Rank.URGENT,
        MODEL,
        prefix,
        160,
        89,
        0,
        Long.MAX_VALUE,
        Set.of(HOME, RegionId.of("south")),
        forwarded);
  }
}
