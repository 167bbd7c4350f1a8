package org.gentianslip.entry.peer;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.revision.ManifestRef;
import org.gentianslip.entry.configservice.SettingsUpdater;
import org.gentianslip.entry.http.HeaderNames;
import org.gentianslip.entry.http.Json;
import org.gentianslip.entry.metrics.EntryMetrics;
import org.gentianslip.entry.state.FleetState;

/**
 * Fetches accepted settings revisions from peers.
 *
 * <p>The receiver verifies them by their hashes. Safe for use by several threads.
 */
public final class PeerSettingsClient implements SettingsUpdater.PeerRevisionSource {

  private static final Duration TIMEOUT = Duration.ofSeconds(3);
  private static final long MAX_BYTES = 32L << 20;

  private final FleetState state;
  private final OkHttpClient client;
  private final EntryMetrics metrics;

  /** Creates a client. */
  public PeerSettingsClient(FleetState state, OkHttpClient client, EntryMetrics metrics) {
    this.state = state;
    this.client = client.newBuilder().callTimeout(TIMEOUT).build();
    this.metrics = metrics;
  }

  /**
   * A settings revision in the form that instances exchange.
   *
   * @param manifest the bytes of the manifest
   * @param parts the bytes of the parts by their keys
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Bundle(byte[] manifest, Map<String, byte[]> parts) {

    Bundle {
      parts = parts == null ? Map.of() : Map.copyOf(parts);
    }
  }

  @Override
  public Optional<SettingsUpdater.RevisionContent> fetch(InstanceId peer, ManifestRef ref) {
    return state
        .membership()
        .table()
        .member(peer)
        .flatMap(m -> fetchFrom(m.info().peerAddress(), ref));
  }

  private Optional<SettingsUpdater.RevisionContent> fetchFrom(String address, ManifestRef ref) {
    var request =
        new Request.Builder()
            .url("http://" + address + "/peer/v1/settings/" + ref.revision())
            .header(HeaderNames.PEER_KEY, state.config().peerKey())
            .build();
    try (var response = client.newCall(request).execute()) {
      if (!response.isSuccessful()) {
        return Optional.empty();
      }
      byte[] body = response.peekBody(MAX_BYTES).bytes();
      metrics.controlMessage("settings", 0, body.length);
      Bundle bundle = Json.parse(body, Bundle.class);
      return Optional.of(new SettingsUpdater.RevisionContent(bundle.manifest(), bundle.parts()));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /** Encodes a revision for a peer. */
  static byte[] encode(SettingsUpdater.RevisionContent content) {
    return Json.bytes(new Bundle(content.manifest(), content.parts()));
  }
}
