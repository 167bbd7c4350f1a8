package org.gentianslip.standin.command;

import java.util.Objects;
import picocli.CommandLine.IVersionProvider;

/** Reads the version from the manifest of the jar. Stateless. */
public final class StandinVersion implements IVersionProvider {

  @Override
  public String[] getVersion() {
    String version = StandinVersion.class.getPackage().getImplementationVersion();
    return new String[] {"gentian-standin " + Objects.toString(version, "dev")};
  }
}
