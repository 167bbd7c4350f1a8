package org.gentianslip.entry.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.entry.http.Json;

/**
 * The configuration of an instance, which it reads from a file when it starts.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param instance the id of the instance
 * @param region its region
 * @param dataCentre its data centre
 * @param host the IP address to listen on
 * @param callerPort the port for callers
 * @param peerPort the port for other instances
 * @param operatorPort the port for operators
 * @param configService the address of the config service as {@code IP:PORT}
 * @param peerKey the key that instances share
 * @param operatorKey the operators' key
 */
public record EntryConfig(
    InstanceId instance,
    RegionId region,
    DataCentreId dataCentre,
    String host,
    int callerPort,
    int peerPort,
    int operatorPort,
    String configService,
    String peerKey,
    String operatorKey) {

  private static final int MAX_PORT = 65_535;

  /**
   * Parses the JSON form of a configuration.
   *
   * @throws InvalidEntryConfigException if members are missing or invalid; it lists all of them
   */
  public static EntryConfig parse(byte[] bytes) throws InvalidEntryConfigException {
    JsonNode root;
    try {
      root = Json.parse(bytes);
    } catch (JsonProcessingException e) {
      throw new InvalidEntryConfigException(
          List.of("/: not valid JSON: " + e.getOriginalMessage()));
    }
    var findings = new ArrayList<String>();
    var instance = text(root, "instance", findings);
    var region = text(root, "region", findings);
    var dataCentre = text(root, "dataCentre", findings);
    var host = text(root, "host", findings);
    int callerPort = port(root, "callerPort", findings);
    int peerPort = port(root, "peerPort", findings);
    int operatorPort = port(root, "operatorPort", findings);
    var configService = text(root, "configService", findings);
    var peerKey = text(root, "peerKey", findings);
    var operatorKey = text(root, "operatorKey", findings);
    if (!findings.isEmpty()) {
      throw new InvalidEntryConfigException(findings);
    }
    try {
      return new EntryConfig(
          InstanceId.of(instance),
          RegionId.of(region),
          DataCentreId.of(dataCentre),
          host,
          callerPort,
          peerPort,
          operatorPort,
          configService,
          peerKey,
          operatorKey);
    } catch (IllegalArgumentException e) {
      throw new InvalidEntryConfigException(List.of("/: " + e.getMessage()));
    }
  }

  private static String text(JsonNode root, String name, List<String> findings) {
    JsonNode node = root.path(name);
    if (!node.isTextual() || node.textValue().isBlank()) {
      findings.add("/" + name + ": must be a non-empty string, but is " + node);
      return "";
    }
    return node.textValue();
  }

  private static int port(JsonNode root, String name, List<String> findings) {
    JsonNode node = root.path(name);
    if (!node.isInt() || node.intValue() < 1 || node.intValue() > MAX_PORT) {
      findings.add("/" + name + ": must be an integer from 1 to " + MAX_PORT + ", but is " + node);
      return 0;
    }
    return node.intValue();
  }
}
