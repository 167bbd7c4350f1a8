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
 * <p>If a hello receives no reply, its connection is closed, so that the next hello opens a new
 * one. Safe for use by several threads.
 */
public final class HelloExchange implements PeerReplyCounts {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final MediaType JSON = MediaType.get("application/json");
  private static final Duration TIMEOUT = Duration.ofSeconds(1);
  private static final long MAX_HELLO_BYTES = 64 * 1024;

  /**
   * The number of other instances in a region up to which all of them exchange hellos at every
   * tick.
   */
  static final int FULL_MESH_MAX_PEERS = 8;

  private static final int CONTACTS_PER_TICK = 2;
  private static final int CONTACTS_PER_REGION_PAIR = 2;

  private final FleetState state;
  private final OkHttpClient client;
  private final EntryMetrics metrics;
  private final HelloBuilder builder;
  private final HelloHandler handler;
  private final ContactPlan contactPlan;
  private final AtomicLong tick = new AtomicLong();
  private final Set<InstanceId> repliedPeers = ConcurrentHashMap.newKeySet();
  private final Set<InstanceId> failedPeers = ConcurrentHashMap.newKeySet();

  /** Creates the exchange. */
  public HelloExchange(
      FleetState state,
      SettingsUpdater settingsUpdater,
      OkHttpClient client,
      EntryMetrics metrics) {
    this.state = state;
    this.client = client.newBuilder().callTimeout(TIMEOUT).build();
    this.metrics = metrics;
    this.builder = new HelloBuilder(state, settingsUpdater);
    this.handler = new HelloHandler(state, settingsUpdater, this::announceToRegion);
    this.contactPlan =
        new ContactPlan(
            state.config().instance(),
            state.config().region(),
            FULL_MESH_MAX_PEERS,
            CONTACTS_PER_TICK,
            CONTACTS_PER_REGION_PAIR);
  }

  /** Sends the hellos that are due at a tick. */
  public void sendDue(long nowNanos) {
    sendTo(nowNanos, contactPlan.contactsAt(tick.getAndIncrement(), knownInstances()));
  }

  /** Sends hellos to all instances of the local region at once, to propagate a change. */
  public void announceToRegion() {
    List<InstanceId> inRegion =
        knownInstances().stream()
            .filter(instance -> instance.region().equals(state.config().region()))
            .map(InstanceInfo::id)
            .toList();
    sendTo(System.nanoTime(), inRegion);
  }

  private List<InstanceInfo> knownInstances() {
    return state.membership().table().members().stream().map(Member::info).toList();
  }

  private void sendTo(long nowNanos, Collection<InstanceId> contacts) {
    byte[] hello = Json.bytes(builder.build(nowNanos));
    for (InstanceId id : contacts) {
      state.membership().table().member(id).ifPresent(m -> send(m.info(), hello));
    }
  }

  private void send(InstanceInfo peer, byte[] hello) {
    var request =
        new Request.Builder()
            .url("http://" + peer.peerAddress() + "/peer/v1/hello")
            .header(HeaderNames.PEER_KEY, state.config().peerKey())
            .post(RequestBody.create(hello, JSON))
            .build();
    long sentNanos = System.nanoTime();
    client
        .newCall(request)
        .enqueue(
            new Callback() {
              @Override
              public void onFailure(Call call, IOException e) {
                onNoReply(peer.id(), hello.length);
              }

              @Override
              public void onResponse(Call call, Response response) {
                try (response) {
                  onReply(peer.id(), sentNanos, hello.length, response);
                } catch (IOException | IllegalArgumentException e) {
                  onNoReply(peer.id(), hello.length);
                }
              }
            });
  }

  private void onNoReply(InstanceId peer, int sentBytes) {
    metrics.controlMessage("hello-failed", sentBytes, 0);
    failedPeers.add(peer);
    long nowNanos = System.nanoTime();
    state.membership().update(t -> t.withFailedHello(nowNanos, peer));
  }

  private void onReply(InstanceId peer, long sentNanos, int sentBytes, Response response)
      throws IOException {
    if (!response.isSuccessful()) {
      throw new IOException("The peer responded with status " + response.code());
    }
    byte[] body = response.peekBody(MAX_HELLO_BYTES).bytes();
    long nowNanos = System.nanoTime();
    Hello hello = Json.parse(body, Hello.class);
    if (!hello.id().equals(peer.value())) {
      LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
          "peers: Instance %s replied at the address of instance %s.", hello.id(), peer);
      throw new IOException("Another instance replied");
    }
    metrics.controlMessage("hello", sentBytes, body.length);
    handler.onReply(nowNanos, nowNanos - sentNanos, hello);
    repliedPeers.add(peer);
  }

  /**
   * Applies a hello received from a peer and returns the hello of this instance as the reply.
   *
   * @throws JsonProcessingException if the bytes are not a valid hello
   * @throws IllegalArgumentException if a field has no valid form
   */
  byte[] reply(long nowNanos, byte[] body) throws JsonProcessingException {
    handler.onHello(nowNanos, Json.parse(body, Hello.class));
    byte[] ownHello = Json.bytes(builder.build(nowNanos));
    metrics.controlMessage("hello-answered", ownHello.length, body.length);
    return ownHello;
  }

  @Override
  public int repliedCount() {
    return repliedPeers.size();
  }

  @Override
  public int pendingCount() {
    int pending = 0;
    for (InstanceInfo info : knownInstances()) {
      boolean inRegion = info.region().equals(state.config().region());
      if (inRegion && !repliedPeers.contains(info.id()) && !failedPeers.contains(info.id())) {
        pending++;
      }
    }
    return pending;
  }

  /**
   * Closes idle connections. To be called after a pause of this process, when they may be broken.
   */
  public void evictConnections() {
    client.connectionPool().evictAll();
  }
}
