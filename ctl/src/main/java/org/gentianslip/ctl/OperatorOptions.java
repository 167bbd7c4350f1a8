package org.gentianslip.ctl;

import java.util.List;
import picocli.CommandLine.Option;

/** The options of commands that query running instances. Confined to one thread. */
final class OperatorOptions {

  @Option(
      names = "--operator",
      required = true,
      paramLabel = "IP:PORT",
      converter = OperatorAddress.Converter.class,
      description = "The operators' port of an instance; may be given several times.")
  private List<OperatorAddress> addresses;

  @Option(
      names = "--operator-key",
      paramLabel = "KEY",
      defaultValue = "${env:GENTIAN_OPERATOR_KEY:-}",
      description = "The operators' key; by default that of GENTIAN_OPERATOR_KEY.")
  private String key;

  @Option(names = "--json", description = "Prints JSON.")
  private boolean json;

  List<OperatorAddress> addresses() {
    return addresses;
  }

  boolean json() {
    return json;
  }

  OperatorClient client() {
    return new OperatorClient(key);
  }
}
