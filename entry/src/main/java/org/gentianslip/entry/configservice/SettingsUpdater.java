package org.gentianslip.entry.configservice;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.Revision;
import org.gentianslip.core.revision.KnownRevisions;
import org.gentianslip.core.revision.ManifestRef;
import org.gentianslip.core.revision.ReadinessRule;
import org.gentianslip.core.revision.RevisionAdoption;
import org.gentianslip.core.revision.RevisionDecision;
import org.gentianslip.core.revision.RevisionEvent;
import org.gentianslip.core.revision.RevisionStep;
import org.gentianslip.entry.http.Json;
import org.gentianslip.entry.http.Sha256;
import org.gentianslip.entry.metrics.EntryMetrics;
import org.gentianslip.entry.state.FleetState;
import org.gentianslip.settings.Finding;
import org.gentianslip.settings.ParseResult;
import org.gentianslip.settings.Settings;
import org.gentianslip.settings.SettingsDocument;
import org.gentianslip.settings.SettingsParser;

/**
 * Fetches, validates and adopts revisions of the settings, as decided by {@link RevisionAdoption}.
 *
 * <p>A revision is adopted only if its manifest and all its parts match their hashes, if they are
 * valid as a whole, and if the revision is later than the one in force. Peers are read on the
 * executor, one at a time. No lock is held while a peer or the config service is read. Safe for use
 * by several threads.
 */
public final class SettingsUpdater {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** The maximum number of findings to log for a rejected revision. */
  private static final int MAX_LOGGED_FINDINGS = 5;

  private final FleetState state;
  private final PartReader partReader;
  private final EntryMetrics metrics;
  private final Executor executor;
  private final AtomicReference<RevisionAdoption> adoption =
      new AtomicReference<>(RevisionAdoption.initial());
  private final AtomicReference<RevisionContent> contentInForce = new AtomicReference<>();
  private final AtomicReference<RejectedRevision> lastRejected = new AtomicReference<>();
  private final AtomicReference<ManifestRef> latestOfService = new AtomicReference<>();
  private final AtomicReference<ManifestRef> latestOfPeers =
      new AtomicReference<>(ManifestRef.NONE);
  private final Map<InstanceId, Revision> revisionsByPeer = new ConcurrentHashMap<>();
  private volatile PeerRevisionSource peers = (peer, ref) -> Optional.empty();
  private volatile Runnable announce = () -> {};

  /** Reads parts of the settings from the config service. */
  public interface PartReader {

    /** Returns the bytes of a part, or an empty value if it cannot be read now. */
    Optional<byte[]> readPart(String key);
  }

  /** Fetches accepted revisions from peers. */
  public interface PeerRevisionSource {

    /** Returns the content of a revision, or an empty value if it cannot be fetched now. */
    Optional<RevisionContent> fetch(InstanceId peer, ManifestRef ref);
  }

  /**
   * The bytes of one revision.
   *
   * @param manifest the bytes of the manifest
   * @param parts the bytes of the parts, by key
   */
  @SuppressWarnings("ArrayRecordComponent")
  public record RevisionContent(byte[] manifest, Map<String, byte[]> parts) {

    /** Copies the map. */
    public RevisionContent {
      parts = Map.copyOf(parts);
    }
  }

  /**
   * A revision that was rejected as invalid.
   *
   * @param revision the number of the revision
   * @param findings the findings that led to the rejection
   */
  public record RejectedRevision(long revision, List<Finding> findings) {}

  /**
   * Creates an updater without settings.
   *
   * @param executor runs the fetches from peers one after the other
   */
  public SettingsUpdater(
      FleetState state, PartReader partReader, EntryMetrics metrics, Executor executor) {
    this.state = state;
    this.partReader = partReader;
    this.metrics = metrics;
    this.executor = executor;
  }

  /**
   * Sets how to reach the peers.
   *
   * @param source fetches revisions from peers
   * @param announcer announces an adopted revision to the peers
   */
  public void setPeers(PeerRevisionSource source, Runnable announcer) {
    this.peers = source;
    this.announce = announcer;
  }

  /**
   * Handles a manifest read from the config service.
   *
   * @return false if the manifest must be read again later, because its revision is being fetched
   *     or a part cannot be read now
   */
  public boolean onServiceManifest(long nowNanos, byte[] bytes) {
    Optional<SettingsManifest> manifest = readManifest(bytes);
    if (manifest.isEmpty()) {
      return true;
    }
    ManifestRef ref = manifestRefOf(manifest.get(), bytes);
    latestOfService.set(ref);
    RevisionDecision decision = applyEvent(nowNanos, new RevisionEvent.ServiceAnnounced(ref));
    if (decision instanceof RevisionDecision.Ignore ignore) {
      return ignore.reason() != RevisionDecision.Reason.BEING_FETCHED;
    }
    Optional<Map<String, byte[]>> contents = readParts(manifest.get());
    if (contents.isEmpty()) {
      applyEvent(System.nanoTime(), new RevisionEvent.FetchFailed(ref));
      return false;
    }
    validateAndAdopt(ref, new RevisionContent(bytes, contents.get()));
    return true;
  }

  /** Handles a peer's announcement of its accepted revision, and fetches the revision if needed. */
  public void onPeerAnnouncement(long nowNanos, InstanceId peer, ManifestRef ref) {
    revisionsByPeer.put(peer, ref.revision());
    latestOfPeers.accumulateAndGet(ref, (a, b) -> b.isAfter(a) ? b : a);
    RevisionDecision decision = applyEvent(nowNanos, new RevisionEvent.PeerAnnounced(peer, ref));
    if (decision instanceof RevisionDecision.PullFromPeer pull) {
      executor.execute(() -> fetchFromPeer(pull.peer(), pull.ref()));
    }
  }

  private void fetchFromPeer(InstanceId peer, ManifestRef ref) {
    Optional<RevisionContent> fetched = peers.fetch(peer, ref).filter(r -> isContentOf(r, ref));
    if (fetched.isEmpty()) {
      LOGGER.atInfo().log(
          "settings: Revision %s could not be fetched from peer %s.", ref.revision(), peer);
      applyEvent(System.nanoTime(), new RevisionEvent.FetchFailed(ref));
      return;
    }
    validateAndAdopt(ref, fetched.get());
  }

  private static boolean isContentOf(RevisionContent content, ManifestRef ref) {
    Optional<SettingsManifest> manifest = readManifest(content.manifest());
    if (manifest.isEmpty() || !manifestRefOf(manifest.get(), content.manifest()).equals(ref)) {
      return false;
    }
    for (SettingsManifest.Part part : manifest.get().parts()) {
      byte[] partBytes = content.parts().get(part.key());
      if (partBytes == null || !isIntact(part, partBytes)) {
        return false;
      }
    }
    return true;
  }

  private RevisionDecision applyEvent(long nowNanos, RevisionEvent event) {
    while (true) {
      RevisionAdoption current = adoption.get();
      RevisionStep step = current.on(nowNanos, event);
      if (adoption.compareAndSet(current, step.next())) {
        if (step.conflict()) {
          LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
              "settings: Revision %s was published with two different contents.",
              event.ref().revision());
        }
        return step.decision();
      }
    }
  }

  private static Optional<SettingsManifest> readManifest(byte[] bytes) {
    try {
      return Optional.of(Json.parse(bytes, SettingsManifest.class));
    } catch (JsonProcessingException | IllegalArgumentException e) {
      LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
          "settings: The manifest cannot be parsed: %s", e.getMessage());
      return Optional.empty();
    }
  }

  private static ManifestRef manifestRefOf(SettingsManifest manifest, byte[] bytes) {
    return new ManifestRef(Revision.of(manifest.revision()), Sha256.hex(bytes));
  }

  private Optional<Map<String, byte[]>> readParts(SettingsManifest manifest) {
    Map<String, byte[]> contents = new LinkedHashMap<>();
    for (SettingsManifest.Part part : manifest.parts()) {
      Optional<byte[]> content =
          partInForce(part)
              .or(() -> partReader.readPart(part.key()))
              .filter(c -> isIntact(part, c));
      if (content.isEmpty()) {
        LOGGER.atWarning().log(
            "settings: Part %s of revision %s cannot be read or does not match its SHA-256.",
            part.key(), manifest.revision());
        return Optional.empty();
      }
      contents.put(part.key(), content.get());
    }
    return Optional.of(contents);
  }

  private static boolean isIntact(SettingsManifest.Part part, byte[] content) {
    return Sha256.hex(content).equals(part.sha256());
  }

  private Optional<byte[]> partInForce(SettingsManifest.Part part) {
    return Optional.ofNullable(contentInForce.get()).map(r -> r.parts().get(part.key()));
  }

  private void validateAndAdopt(ManifestRef ref, RevisionContent content) {
    ParseResult result = SettingsParser.parse(ref.revision(), toDocuments(content));
    if (result instanceof ParseResult.Rejected rejection) {
      applyEvent(System.nanoTime(), new RevisionEvent.Rejected(ref));
      lastRejected.set(new RejectedRevision(ref.revision().value(), rejection.findings()));
      LOGGER.atWarning().log(
          "settings: Revision %s is rejected; first findings: %s",
          ref.revision(), rejection.findings().stream().limit(MAX_LOGGED_FINDINGS).toList());
      return;
    }
    adopt(ref, content, ((ParseResult.Accepted) result).settings());
  }

  private synchronized void adopt(ManifestRef ref, RevisionContent content, Settings settings) {
    RevisionDecision decision = applyEvent(System.nanoTime(), new RevisionEvent.Validated(ref));
    if (!(decision instanceof RevisionDecision.Adopt)) {
      return;
    }
    state.putSettings(settings);
    contentInForce.set(content);
    metrics.setSettingsRevision(ref.revision().value());
    LOGGER.atInfo().log("settings: Revision %s is in force.", ref.revision());
    announce.run();
  }

  private static List<SettingsDocument> toDocuments(RevisionContent content) {
    List<SettingsDocument> documents = new ArrayList<>();
    content.parts().entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .forEach(e -> documents.add(new SettingsDocument(e.getKey(), e.getValue())));
    return documents;
  }

  /**
   * Returns whether the settings in force are the latest ones known to the service and the peers.
   *
   * @param peersAnswered the number of peers that have reported their revision
   * @param peersPending the number of peers that have neither reported it nor failed to respond
   */
  public boolean isLatestKnownInForce(int peersAnswered, int peersPending) {
    return ReadinessRule.isReady(
        adoption.get(),
        new KnownRevisions(
            Optional.ofNullable(latestOfService.get()),
            peersAnswered,
            peersPending,
            latestOfPeers.get()));
  }

  /** Returns the revision that a peer announced last, if any. */
  public Optional<Revision> revisionAnnouncedBy(InstanceId peer) {
    return Optional.ofNullable(revisionsByPeer.get(peer));
  }

  /** Returns a reference to the manifest in force. */
  public ManifestRef acceptedManifest() {
    return adoption.get().accepted();
  }

  /** Returns the content of the revision in force, if there is one. */
  public Optional<RevisionContent> contentInForce() {
    return Optional.ofNullable(contentInForce.get());
  }

  /** Returns the revision rejected last, or null if there is none. */
  public RejectedRevision lastRejection() {
    return lastRejected.get();
  }
}
