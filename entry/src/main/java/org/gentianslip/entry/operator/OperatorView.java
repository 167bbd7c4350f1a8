package org.gentianslip.entry.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.gentianslip.core.id.RequestId;
import org.gentianslip.entry.explain.DecisionLog;

/**
 * Shows operators what an instance knows.
 *
 * <p>Implementations are safe for use by several threads.
 */
public interface OperatorView {

  /** Returns the id of the instance. */
  String instance();

  /** Returns whether it can serve requests. */
  boolean ready();

  /** Returns the metrics in the Prometheus text format. */
  byte[] metrics();

  /** Returns the instance's state and what it believes of other instances and engines. */
  ObjectNode status(long nowNanos);

  /**
   * Returns the values in force for some requests and where each comes from.
   *
   * @param customer the customer, or an empty text
   * @param kind the kind of work, or an empty text
   * @param region the region, or an empty text for the instance's own
   * @return the values, or nothing while no settings are known
   * @throws IllegalArgumentException if one of them is no valid name
   */
  Optional<ObjectNode> settings(String customer, String kind, String region);

  /** Returns the steps of a request; the list is empty if it is not known. */
  List<DecisionLog.Step> steps(RequestId request);
}
