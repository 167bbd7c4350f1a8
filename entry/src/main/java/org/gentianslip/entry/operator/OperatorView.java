package org.gentianslip.entry.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.gentianslip.core.id.RequestId;
import org.gentianslip.entry.explain.DecisionLog;

/**
 * The state of an instance that operators can query.
 *
 * <p>Implementations are safe for use by several threads.
 */
public interface OperatorView {

  /** Returns the id of the instance. */
  String instance();

  /** Returns whether the instance can serve requests. */
  boolean ready();

  /** Returns the metrics in the Prometheus text format. */
  byte[] metrics();

  /** Returns the state of the instance and its view of other instances and engines. */
  ObjectNode status(long nowNanos);

  /**
   * Returns the settings in force for a set of requests and where each value comes from.
   *
   * @param customer the customer, or an empty string
   * @param kind the kind of work, or an empty string
   * @param region the region, or an empty string for the instance's own
   * @return the settings, or empty before the first settings revision
   * @throws IllegalArgumentException if one of the arguments is not a valid name
   */
  Optional<ObjectNode> settings(String customer, String kind, String region);

  /** Returns the recorded steps of a request, or an empty list if the request is not known. */
  List<DecisionLog.Step> steps(RequestId request);
}
