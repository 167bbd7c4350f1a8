package org.gentianslip.entry.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.membership.ContactPlan;
import org.gentianslip.core.membership.InstanceInfo;
import org.gentianslip.core.membership.Member;
import org.gentianslip.entry.configservice.SettingsUpdater;
import org.gentianslip.entry.http.HeaderNames;
import org.gentianslip.entry.http.Json;
import org.gentianslip.entry.metrics.EntryMetrics;
import org.gentianslip.entry.state.FleetState;

/**
 * Exchanges hellos with other instances.
 *
 * <p>An exchange that gets no answer closes its connection, so that the next one uses a new one.
 * Safe for use by several threads.
 */
public final class HelloExchange implements PeerCensus {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final MediaType JSON = MediaType.get("application/json");
  private static final Duration TIMEOUT = Duration.ofSeconds(1);
  private static final long MAX_HELLO_BYTES = 64 * 1024;

  /** The greatest number of others in a region that all hear each other at every tick. */
  static final int ALL_UP_TO = 8;

  private static final int PER_TICK = 2;
  private static final int PER_REGION_PAIR = 2;

  private final FleetState state;
  private final OkHttpClient client;
  private final EntryMetrics metrics;
  private final HelloWriter writer;
  private final HelloReader reader;
  private final ContactPlan plan;
  private final AtomicLong tick = new AtomicLong();
  private final Set<InstanceId> answered = ConcurrentHashMap.newKeySet();
  private final Set<InstanceId> failed = ConcurrentHashMap.newKeySet();

  /** Creates the exchange. */
  public HelloExchange(
      FleetState state, SettingsUpdater intake, OkHttpClient client, EntryMetrics metrics) {
    this.state = state;
    this.client = client.newBuilder().callTimeout(TIMEOUT).build();
    this.metrics = metrics;
    this.writer = new HelloWriter(state, intake);
    this.reader = new HelloReader(state, intake, this::announce);
    this.plan =
        new ContactPlan(
            state.place().instance(), state.place().region(), ALL_UP_TO, PER_TICK, PER_REGION_PAIR);
  }

  /** Sends the hellos that are due at a tick. */
  public void round(long nowNanos) {
    sendTo(nowNanos, plan.contactsAt(tick.getAndIncrement(), known()));
  }

  /** Sends hellos to the own region at once, to pass on news. */
  public void announce() {
    List<InstanceId> own =
        known().stream()
            .filter(i -> i.region().equals(state.place().region()))
            .map(InstanceInfo::id)
            .toList();
    sendTo(System.nanoTime(), own);
  }

  private List<InstanceInfo> known() {
    return state.membership().table().members().stream().map(Member::info).toList();
  }

  private void sendTo(long nowNanos, Collection<InstanceId> contacts) {
    byte[] hello = Json.bytes(writer.write(nowNanos));
    for (InstanceId id : contacts) {
      state.membership().table().member(id).ifPresent(m -> send(m.info(), hello));
    }
  }

  private void send(InstanceInfo peer, byte[] hello) {
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
                noAnswer(peer.id(), hello.length);
              }

              @Override
              public void onResponse(Call call, Response response) {
                try (response) {
                  takeAnswer(peer.id(), sent, hello.length, response);
                } catch (IOException | IllegalArgumentException e) {
                  noAnswer(peer.id(), hello.length);
                }
              }
            });
  }

  private void noAnswer(InstanceId peer, int sentBytes) {
    metrics.controlMessage("hello-failed", sentBytes, 0);
    failed.add(peer);
    long nowNanos = System.nanoTime();
    state.membership().update(t -> t.withoutAnswer(nowNanos, peer));
  }

  private void takeAnswer(InstanceId peer, long sentNanos, int sentBytes, Response response)
      throws IOException {
    if (!response.isSuccessful()) {
      throw new IOException("The peer answered " + response.code());
    }
    byte[] body = response.peekBody(MAX_HELLO_BYTES).bytes();
    long now = System.nanoTime();
    Hello hello = Json.parse(body, Hello.class);
    if (!hello.id().equals(peer.value())) {
      LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
          "peers: %s answers at the address of %s.", hello.id(), peer);
      throw new IOException("Another instance answered");
    }
    metrics.controlMessage("hello", sentBytes, body.length);
    reader.answered(now, now - sentNanos, hello);
    answered.add(peer);
  }

  /**
   * Takes a peer's hello and answers with the own.
   *
   * @throws JsonProcessingException if the bytes are no hello
   * @throws IllegalArgumentException if a part has no valid form
   */
  byte[] answer(long nowNanos, byte[] body) throws JsonProcessingException {
    reader.called(nowNanos, Json.parse(body, Hello.class));
    byte[] own = Json.bytes(writer.write(nowNanos));
    metrics.controlMessage("hello-answered", own.length, body.length);
    return own;
  }

  @Override
  public int answered() {
    return answered.size();
  }

  @Override
  public int pending() {
    int pending = 0;
    for (InstanceInfo info : known()) {
      boolean asked = info.region().equals(state.place().region());
      if (asked && !answered.contains(info.id()) && !failed.contains(info.id())) {
        pending++;
      }
    }
    return pending;
  }

  /** Closes idle connections, after a pause of this process. */
  public void evictConnections() {
    client.connectionPool().evictAll();
  }
}
