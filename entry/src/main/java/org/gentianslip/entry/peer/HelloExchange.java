package org.gentianslip.entry.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.time.Duration;
import java.util.Set;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.entry.http.HeaderNames;
import org.gentianslip.entry.http.Json;
import org.gentianslip.entry.metrics.EntryMetrics;
import org.gentianslip.entry.platform.EntryRecord;
import org.gentianslip.entry.state.EngineState;
import org.gentianslip.entry.state.FleetState;
import org.gentianslip.entry.state.PeerState;

/**
 * Exchanges hellos with other instances.
 *
 * <p>Everything heard is a hint. Safe for use by several threads.
 */
public final class HelloExchange {

  private static final MediaType JSON = MediaType.get("application/json");
  private static final Duration TIMEOUT = Duration.ofSeconds(1);
  private static final long MAX_HELLO_BYTES = 64 * 1024;

  private final FleetState state;
  private final OkHttpClient client;
  private final EntryMetrics metrics;

  /** Creates the exchange. */
  public HelloExchange(FleetState state, OkHttpClient client, EntryMetrics metrics) {
    this.state = state;
    this.client = client.newBuilder().callTimeout(TIMEOUT).build();
    this.metrics = metrics;
  }

  /** Returns what this instance tells. */
  public Hello own(long nowNanos) {
    var place = state.place();
    var settings = state.settings();
    return new Hello(
        place.instance().value(),
        place.region().value(),
        state.incarnation().toString(),
        state.leaving(),
        settings == null ? 0 : settings.revision().value(),
        state.engines().freeSlots(nowNanos),
        state.engines().leaving().stream().map(EngineId::value).sorted().toList());
  }

  /** Sends a hello to every instance of the own region and to a few of each other region. */
  public void round(long nowNanos) {
    byte[] hello = Json.bytes(own(nowNanos));
    for (EntryRecord peer : HelloTargets.choose(state.list(), state.place())) {
      send(peer, hello);
    }
  }

  private void send(EntryRecord peer, byte[] hello) {
    var request =
        new Request.Builder()
            .url("http://" + peer.peerAddress() + "/peer/v1/hello")
            .header(HeaderNames.PEER_KEY, state.place().peerKey())
            .post(RequestBody.create(hello, JSON))
            .build();
    long sent = System.nanoTime();
    client
        .newCall(request)
        .enqueue(
            new Callback() {
              @Override
              public void onFailure(Call call, IOException e) {
                metrics.controlMessage("hello-failed", hello.length, 0);
              }

              @Override
              public void onResponse(Call call, Response response) throws IOException {
                try (response) {
                  if (response.isSuccessful()) {
                    answered(sent, hello.length, response.peekBody(MAX_HELLO_BYTES).bytes());
                  }
                }
              }
            });
  }

  private void answered(long sentNanos, int sentBytes, byte[] body) throws IOException {
    metrics.controlMessage("hello", sentBytes, body.length);
    long now = System.nanoTime();
    heard(now, now - sentNanos, Json.parse(body, Hello.class));
  }

  /**
   * Takes a peer's hello and answers with the own.
   *
   * @throws JsonProcessingException if the bytes are no hello
   */
  public byte[] answer(long nowNanos, byte[] body) throws JsonProcessingException {
    heard(nowNanos, 0, Json.parse(body, Hello.class));
    byte[] own = Json.bytes(own(nowNanos));
    metrics.controlMessage("hello-answered", own.length, body.length);
    return own;
  }

  private void heard(long nowNanos, long roundTripNanos, Hello hello) {
    var known = state.peers().fresh(nowNanos, hello.id());
    long roundTrip =
        roundTripNanos > 0 ? roundTripNanos : known.map(PeerState::roundTripNanos).orElse(0L);
    state
        .peers()
        .heard(
            new PeerState(
                hello.id(),
                hello.region(),
                hello.incarnation(),
                hello.leaving(),
                hello.settingsRevision(),
                hello.freeSlots(),
                Set.copyOf(hello.leavingEngines()),
                nowNanos,
                roundTrip));
    if (hello.region().equals(state.place().region().value())) {
      markLeaving(hello);
    }
  }

  private void markLeaving(Hello hello) {
    for (String id : hello.leavingEngines()) {
      EngineState engine = state.engines().get(EngineId.of(id));
      if (engine != null) {
        engine.markLeaving();
      }
    }
  }
}
