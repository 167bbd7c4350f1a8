package org.gentianslip.entry.gateway;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** The call of engines that report nothing. */
record NoReports() implements EngineReports {

  @Override
  public String target() {
    return "/report";
  }

  @Override
  public Optional<Set<String>> runs(int status, byte[] body) {
    return Optional.empty();
  }

  @Override
  public OptionalLong startedMillis(int status, byte[] body) {
    return OptionalLong.empty();
  }
}
