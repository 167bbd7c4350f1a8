package org.gentianslip.core.load;

/** What is believed of the rate that a backend server bears. */
public enum Warmth {

  /** It bears any rate that its slots allow. */
  WARM,

  /** It has started recently, and bears a limited rate. */
  COLD,

  /** It may have started recently, as it could not be reached or broke off. */
  UNCONFIRMED
}
