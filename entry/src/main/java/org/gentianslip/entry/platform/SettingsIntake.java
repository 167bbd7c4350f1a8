package org.gentianslip.entry.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import org.gentianslip.core.id.Revision;
import org.gentianslip.entry.http.Json;
import org.gentianslip.entry.http.Sha256;
import org.gentianslip.entry.metrics.EntryMetrics;
import org.gentianslip.entry.state.FleetState;
import org.gentianslip.settings.Finding;
import org.gentianslip.settings.ParseResult;
import org.gentianslip.settings.SettingsDocument;
import org.gentianslip.settings.SettingsParser;

/**
 * Turns manifests into settings in force.
 *
 * <p>A revision is taken only if all its parts are there, match their hashes and are valid as a
 * whole, and only if it is later than the one in force. Safe for use by several threads.
 */
public final class SettingsIntake {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final int MAX_LOGGED = 5;

  private final FleetState state;
  private final PartSource parts;
  private final EntryMetrics metrics;
  private final Map<String, byte[]> partsInForce = new ConcurrentHashMap<>();
  private final AtomicReference<Rejection> rejected = new AtomicReference<>();
  private volatile byte[] manifestInForce;

  /** Gives the bytes of a part. */
  public interface PartSource {

    /** Returns the bytes, or null if they cannot be had now. */
    byte[] part(String key);
  }

  /**
   * Tells which revision was rejected last.
   *
   * @param revision the revision
   * @param findings its faults
   */
  public record Rejection(long revision, List<Finding> findings) {}

  /** Creates an intake. */
  public SettingsIntake(FleetState state, PartSource parts, EntryMetrics metrics) {
    this.state = state;
    this.parts = parts;
    this.metrics = metrics;
  }

  /**
   * Takes a manifest.
   *
   * @return false if parts are missing for now, so that the manifest is to be offered again
   */
  public synchronized boolean offer(byte[] bytes) {
    Manifest manifest;
    try {
      manifest = Json.parse(bytes, Manifest.class);
    } catch (JsonProcessingException | IllegalArgumentException e) {
      LOGGER.atWarning().log("settings: The manifest is not readable. %s", e.getMessage());
      return true;
    }
    var settings = state.settings();
    if (settings != null && manifest.revision() <= settings.revision().value()) {
      return true;
    }
    Map<String, byte[]> contents = new java.util.LinkedHashMap<>();
    for (Manifest.Part part : manifest.parts()) {
      byte[] content = content(part);
      if (content == null) {
        return false;
      }
      contents.put(part.key(), content);
    }
    adopt(manifest, bytes, contents);
    return true;
  }

  private byte[] content(Manifest.Part part) {
    byte[] known = partsInForce.get(part.key());
    byte[] content = known == null ? parts.part(part.key()) : known;
    if (content == null || !Sha256.hex(content).equals(part.sha256())) {
      LOGGER.atWarning().log("settings: Part %s is missing or does not match.", part.key());
      return null;
    }
    return content;
  }

  private void adopt(Manifest manifest, byte[] bytes, Map<String, byte[]> contents) {
    List<SettingsDocument> documents = new ArrayList<>();
    contents.forEach((key, content) -> documents.add(new SettingsDocument(key, content)));
    ParseResult result = SettingsParser.parse(Revision.of(manifest.revision()), documents);
    if (result instanceof ParseResult.Rejected no) {
      rejected.set(new Rejection(manifest.revision(), no.findings()));
      LOGGER.atWarning().log(
          "settings: Revision %s is rejected. %s",
          manifest.revision(), no.findings().stream().limit(MAX_LOGGED).toList());
      return;
    }
    var settings = ((ParseResult.Accepted) result).settings();
    if (!state.adopt(settings)) {
      return;
    }
    manifestInForce = bytes;
    partsInForce.clear();
    partsInForce.putAll(contents);
    metrics.revision(manifest.revision());
    LOGGER.atInfo().log("settings: Revision %s is in force.", manifest.revision());
  }

  /** Returns the manifest in force, or null before the first. */
  public byte[] manifestInForce() {
    return manifestInForce;
  }

  /** Returns a part of the revision in force, or null if it has no such part. */
  public byte[] partInForce(String key) {
    return partsInForce.get(key);
  }

  /** Returns the last rejected revision, or null if none was rejected. */
  public Rejection lastRejection() {
    return rejected.get();
  }
}
