package org.gentianslip.core.membership;

/** Tells what is believed of an instance. Safe for use by several threads. */
public enum InstanceState {
  /** It answered lately, or was listed lately and had no time to answer. */
  LIVE,
  /** It has announced its shutdown, or is listed as leaving. */
  LEAVING,
  /** It is listed or was heard of, but has not answered lately. */
  SILENT,
  /** It is not listed and has been silent for long. */
  GONE
}
