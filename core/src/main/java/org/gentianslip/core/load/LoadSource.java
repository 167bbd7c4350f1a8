package org.gentianslip.core.load;

import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.InstanceId;

/**
 * Whose load a report tells. Immutable and thread-safe.
 *
 * @param kind the kind of source
 * @param name the id of the instance or data centre; empty for the rest of the region
 */
public record LoadSource(Kind kind, String name) {

  /** The kinds of sources. */
  public enum Kind {
    /** One instance of the own data centre. */
    INSTANCE,
    /** All instances of another data centre of the region. */
    DATA_CENTRE,
    /** All instances of the region but this one. */
    REST_OF_REGION
  }

  private static final LoadSource REST_OF_REGION = new LoadSource(Kind.REST_OF_REGION, "");

  /** Returns the source for one instance. */
  public static LoadSource instance(InstanceId id) {
    return new LoadSource(Kind.INSTANCE, id.value());
  }

  /** Returns the source for all instances of a data centre. */
  public static LoadSource dataCentre(DataCentreId id) {
    return new LoadSource(Kind.DATA_CENTRE, id.value());
  }

  /** Returns the source for all instances of the region but the receiver. */
  public static LoadSource restOfRegion() {
    return REST_OF_REGION;
  }
}
