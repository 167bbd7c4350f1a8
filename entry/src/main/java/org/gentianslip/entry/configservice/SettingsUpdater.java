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
 * Carries out what {@link RevisionAdoption} decides about the settings.
 *
 * <p>A revision is taken only if its manifest and all its parts match their hashes and are valid as
 * a whole, and only upwards. The service and the peers are read on the executor, one at a time, and
 * never while a lock is held. Safe for use by several threads.
 */
public final class SettingsUpdater {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final int MAX_LOGGED = 5;

  private final FleetState state;
  private final SettingsUpdater.PartReader parts;
  private final EntryMetrics metrics;
  private final Executor executor;
  private final AtomicReference<RevisionAdoption> adoption =
      new AtomicReference<>(RevisionAdoption.initial());
  private final AtomicReference<SettingsUpdater.RevisionContent> inForce = new AtomicReference<>();
  private final AtomicReference<SettingsUpdater.RejectedRevision> rejected =
      new AtomicReference<>();
  private final AtomicReference<ManifestRef> shownByService = new AtomicReference<>();
  private final AtomicReference<ManifestRef> latestOfPeers =
      new AtomicReference<>(ManifestRef.NONE);
  private final Map<InstanceId, Revision> toldByPeers = new ConcurrentHashMap<>();
  private volatile SettingsUpdater.PeerRevisionSource peers = (peer, ref) -> Optional.empty();
  private volatile Runnable announce = () -> {};

  /** Gives the bytes of a part from the config service. */
  public interface PartReader {

    /** Returns the bytes, or nothing if they cannot be had now. */
    Optional<byte[]> readPart(String key);
  }

  /** Gives an accepted revision from a peer. */
  public interface PeerRevisionSource {

    /** Returns the revision, or nothing if it cannot be had now. */
    Optional<SettingsUpdater.RevisionContent> fetch(InstanceId peer, ManifestRef ref);
  }

  /**
   * Holds the bytes of one revision.
   *
   * @param manifest the bytes of the manifest
   * @param parts the bytes of the parts by their keys
   */
  @SuppressWarnings("ArrayRecordComponent")
  public record RevisionContent(byte[] manifest, Map<String, byte[]> parts) {

    /** Copies the map. */
    public RevisionContent {
      parts = Map.copyOf(parts);
    }
  }

  /**
   * Tells which revision was rejected last.
   *
   * @param revision the revision
   * @param findings its faults
   */
  public record RejectedRevision(long revision, List<Finding> findings) {}

  /**
   * Creates an intake.
   *
   * @param executor runs reads of the service and of peers one after the other
   */
  public SettingsUpdater(
      FleetState state, SettingsUpdater.PartReader parts, EntryMetrics metrics, Executor executor) {
    this.state = state;
    this.parts = parts;
    this.metrics = metrics;
    this.executor = executor;
  }

  /**
   * Names the peers as a source.
   *
   * @param source reads from a peer
   * @param announcer tells the peers at once of a revision that was taken
   */
  public void setPeers(SettingsUpdater.PeerRevisionSource source, Runnable announcer) {
    this.peers = source;
    this.announce = announcer;
  }

  /**
   * Takes a manifest that the service shows.
   *
   * @return false if parts are missing for now, so that the manifest is to be offered again
   */
  public boolean onServiceManifest(long nowNanos, byte[] bytes) {
    Optional<SettingsManifest> manifest = readManifest(bytes);
    if (manifest.isEmpty()) {
      return true;
    }
    ManifestRef ref = refOf(manifest.get(), bytes);
    shownByService.set(ref);
    RevisionDecision decision = take(nowNanos, new RevisionEvent.ServiceAnnounced(ref));
    if (decision instanceof RevisionDecision.Ignore ignore) {
      return ignore.reason() != RevisionDecision.Reason.BEING_FETCHED;
    }
    Optional<Map<String, byte[]>> contents = readParts(manifest.get());
    if (contents.isEmpty()) {
      take(System.nanoTime(), new RevisionEvent.FetchFailed(ref));
      return false;
    }
    offer(ref, new SettingsUpdater.RevisionContent(bytes, contents.get()));
    return true;
  }

  /** Takes that a peer has accepted a revision; it is read from the peer if it is needed. */
  public void onPeerAnnouncement(long nowNanos, InstanceId peer, ManifestRef ref) {
    toldByPeers.put(peer, ref.revision());
    latestOfPeers.accumulateAndGet(ref, (a, b) -> b.isAfter(a) ? b : a);
    RevisionDecision decision = take(nowNanos, new RevisionEvent.PeerAnnounced(peer, ref));
    if (decision instanceof RevisionDecision.PullFromPeer pull) {
      executor.execute(() -> pull(pull.peer(), pull.ref()));
    }
  }

  private void pull(InstanceId peer, ManifestRef ref) {
    Optional<SettingsUpdater.RevisionContent> pulled =
        peers.fetch(peer, ref).filter(r -> matches(r, ref));
    if (pulled.isEmpty()) {
      LOGGER.atInfo().log("settings: Revision %s cannot be read from %s.", ref.revision(), peer);
      take(System.nanoTime(), new RevisionEvent.FetchFailed(ref));
      return;
    }
    offer(ref, pulled.get());
  }

  private static boolean matches(SettingsUpdater.RevisionContent revisioned, ManifestRef ref) {
    Optional<SettingsManifest> manifest = readManifest(revisioned.manifest());
    if (manifest.isEmpty() || !refOf(manifest.get(), revisioned.manifest()).equals(ref)) {
      return false;
    }
    for (SettingsManifest.Part part : manifest.get().parts()) {
      byte[] content = revisioned.parts().get(part.key());
      if (content == null || !isIntact(part, content)) {
        return false;
      }
    }
    return true;
  }

  private RevisionDecision take(long nowNanos, RevisionEvent event) {
    while (true) {
      RevisionAdoption now = adoption.get();
      RevisionStep step = now.on(nowNanos, event);
      if (adoption.compareAndSet(now, step.next())) {
        if (step.conflict()) {
          LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
              "settings: Revision %s was published with two contents.", event.ref().revision());
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
          "settings: The manifest is not readable. %s", e.getMessage());
      return Optional.empty();
    }
  }

  private static ManifestRef refOf(SettingsManifest manifest, byte[] bytes) {
    return new ManifestRef(Revision.of(manifest.revision()), Sha256.hex(bytes));
  }

  private Optional<Map<String, byte[]>> readParts(SettingsManifest manifest) {
    Map<String, byte[]> contents = new LinkedHashMap<>();
    for (SettingsManifest.Part part : manifest.parts()) {
      Optional<byte[]> content =
          known(part).or(() -> parts.readPart(part.key())).filter(c -> isIntact(part, c));
      if (content.isEmpty()) {
        LOGGER.atWarning().log("settings: Part %s is missing or does not match.", part.key());
        return Optional.empty();
      }
      contents.put(part.key(), content.get());
    }
    return Optional.of(contents);
  }

  private static boolean isIntact(SettingsManifest.Part part, byte[] content) {
    return Sha256.hex(content).equals(part.sha256());
  }

  private Optional<byte[]> known(SettingsManifest.Part part) {
    return Optional.ofNullable(inForce.get()).map(r -> r.parts().get(part.key()));
  }

  private void offer(ManifestRef ref, SettingsUpdater.RevisionContent revisioned) {
    ParseResult result = SettingsParser.parse(ref.revision(), documents(revisioned));
    if (result instanceof ParseResult.Rejected no) {
      take(System.nanoTime(), new RevisionEvent.Rejected(ref));
      rejected.set(new SettingsUpdater.RejectedRevision(ref.revision().value(), no.findings()));
      LOGGER.atWarning().log(
          "settings: Revision %s is rejected. %s",
          ref.revision(), no.findings().stream().limit(MAX_LOGGED).toList());
      return;
    }
    adopt(ref, revisioned, ((ParseResult.Accepted) result).settings());
  }

  private synchronized void adopt(
      ManifestRef ref, SettingsUpdater.RevisionContent revisioned, Settings settings) {
    RevisionDecision decision = take(System.nanoTime(), new RevisionEvent.Validated(ref));
    if (!(decision instanceof RevisionDecision.Adopt)) {
      return;
    }
    state.putSettings(settings);
    inForce.set(revisioned);
    metrics.revision(ref.revision().value());
    LOGGER.atInfo().log("settings: Revision %s is in force.", ref.revision());
    announce.run();
  }

  private static List<SettingsDocument> documents(SettingsUpdater.RevisionContent revisioned) {
    List<SettingsDocument> documents = new ArrayList<>();
    revisioned.parts().entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .forEach(e -> documents.add(new SettingsDocument(e.getKey(), e.getValue())));
    return documents;
  }

  /**
   * Returns whether the settings in force are the latest that can be known.
   *
   * @param peersAnswered the peers that have told their revision
   * @param peersPending the peers that have neither told it nor failed to answer
   */
  public boolean isLatestKnownInForce(int peersAnswered, int peersPending) {
    return ReadinessRule.isReady(
        adoption.get(),
        new KnownRevisions(
            Optional.ofNullable(shownByService.get()),
            peersAnswered,
            peersPending,
            latestOfPeers.get()));
  }

  /** Returns the revision that a peer last told, if it told one. */
  public Optional<Revision> revisionAnnouncedBy(InstanceId peer) {
    return Optional.ofNullable(toldByPeers.get(peer));
  }

  /** Returns the state in force. */
  public ManifestRef acceptedManifest() {
    return adoption.get().accepted();
  }

  /** Returns the bytes of the revision in force, if there is one. */
  public Optional<SettingsUpdater.RevisionContent> contentInForce() {
    return Optional.ofNullable(inForce.get());
  }

  /** Returns the last rejected revision, or null if none was rejected. */
  public SettingsUpdater.RejectedRevision lastRejection() {
    return rejected.get();
  }
}
