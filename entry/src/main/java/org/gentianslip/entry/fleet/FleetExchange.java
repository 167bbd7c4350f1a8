package org.gentianslip.entry.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.flogger.FluentLogger;
import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.StatusCode;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.gentianslip.core.fleet.Activity;
import org.gentianslip.core.fleet.Contact;
import org.gentianslip.core.fleet.ContactPlanner;
import org.gentianslip.core.fleet.DataCentreReport;
import org.gentianslip.core.fleet.LoadScope;
import org.gentianslip.core.fleet.PeerRecord;
import org.gentianslip.core.published.ItemSnapshot;
import org.gentianslip.core.published.RevocationRule;
import org.gentianslip.core.quota.QuotaLedger;
import org.gentianslip.core.stream.StreamOrigins;
import org.gentianslip.core.time.ClockReading;
import org.gentianslip.entry.clock.Clocks;
import org.gentianslip.entry.gateway.GatewayState;
import org.gentianslip.entry.http.Json;
import org.gentianslip.entry.published.PublishedStateUpdater;

/**
 * Exchanges messages with other instances, as a {@link ContactPlanner} decides.
 *
 * <p>Safe for use by several threads.
 */
public final class FleetExchange {

  /** The interval between rounds, in milliseconds. */
  public static final long ROUND_MILLIS = ContactPlanner.ROUND_MILLIS;

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final String SYNC = "/peer/v1/fleet/sync";
  private static final String PUBLISHED = "/peer/v1/fleet/published";

  /** The rounds from one question for a confirmation to the next; few, as all may ask at once. */
  private static final int SEEK_ROUNDS = 2;

  private final GatewayState state;
  private final PublishedStateUpdater updater;
  private final FleetMessages messages;
  private final ContactPlanner planner;
  private final FleetClient client = new FleetClient();
  private final AtomicBoolean pulling = new AtomicBoolean();
  private final Set<String> pendingAddresses = ConcurrentHashMap.newKeySet();
  private boolean wasRelay;
  private int seekRounds;

  /** Creates an exchange for this instance. */
  public FleetExchange(GatewayState state, PublishedStateUpdater updater) {
    this.state = state;
    this.updater = updater;
    this.messages = new FleetMessages(state, updater);
    this.planner = new ContactPlanner(state.fleet(), new SplittableRandom());
  }

  /** Adds the HTTP routes that other instances call. */
  public void addTo(Jooby app) {
    app.post(SYNC, this::receive);
    app.get(
        PUBLISHED,
        ctx -> {
          ctx.setResponseType(MediaType.json);
          return ctx.send(Json.bytes(PublishedCopy.of(updater.snapshot(System.nanoTime()))));
        });
  }

  private Context receive(Context ctx) {
    try {
      FleetMessage message = Json.parse(ctx.body().bytes(), FleetMessage.class);
      PeerRecord sender = message.self().toRecord();
      apply(message);
      planner.answered(sender.id());
      ctx.setResponseType(MediaType.json);
      return ctx.send(
          Json.bytes(messages.respond(System.nanoTime(), sender, message.scope().ofResponse())));
    } catch (JsonProcessingException | IllegalArgumentException | NullPointerException e) {
      LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
          "fleet: event=bad-message from=%s cause=%s", ctx.getRemoteAddress(), e.getMessage());
      return ctx.send(StatusCode.BAD_REQUEST);
    }
  }

  /** Performs one round; must be called every {@link #ROUND_MILLIS}, by one thread. */
  public void round(long nowNanos) {
    QuotaLedger quotas = state.quotas().ledger();
    var report =
        new DataCentreReport(
            state.waits(nowNanos), quotas.centre(nowNanos, state.fleet().formerUsage()));
    List<Contact> contacts =
        planner.plan(
            nowNanos, state.ownRecord(), state.config().seeds(), report, activity(nowNanos));
    contacts.forEach(c -> send(nowNanos, c));
    if (planner.isRelay() != wasRelay) {
      wasRelay = planner.isRelay();
      LOGGER.atInfo().log("fleet: event=relay active=%s", wasRelay);
    }
    state.prompts().dropExpired(nowNanos);
    state.streamOrigins().dropBefore(nowNanos - StreamOrigins.RETENTION_NANOS);
    quotas.forgetIdle(nowNanos);
    seekConfirmation(nowNanos);
    updater.setRelay(planner.isRelay());
  }

  private Activity activity(long nowNanos) {
    QuotaLedger quotas = state.quotas().ledger();
    if (quotas.hasSurge(nowNanos)) {
      return Activity.URGENT;
    }
    boolean busy = state.hasLoad(nowNanos) || !quotas.own(nowNanos).isEmpty();
    return busy ? Activity.BUSY : Activity.IDLE;
  }

  /**
   * Asks the other instances in turn whether the configuration is the newest one, if neither the
   * publisher nor a relay has confirmed it for long.
   */
  private void seekConfirmation(long nowNanos) {
    RevocationRule rule = state.config().bounds().revocation();
    if (!rule.seeks(state.knowledge().confirmation(), Clocks.read())) {
      return;
    }
    seekRounds++;
    List<PeerRecord> live = state.fleet().live(nowNanos);
    if (seekRounds % SEEK_ROUNDS == 0 && !live.isEmpty()) {
      PeerRecord peer = live.get(Math.floorMod(seekRounds / SEEK_ROUNDS, live.size()));
      send(nowNanos, Contact.of(peer, LoadScope.NONE));
    }
  }

  /** Tells the relays of all data centres now that the state of this instance has changed. */
  public void announce(long nowNanos) {
    planner.announcement(nowNanos).forEach(c -> send(nowNanos, c));
  }

  private void send(long nowNanos, Contact contact) {
    String address = contact.controlAddress();
    if (address.equals(state.config().controlAddress()) || !pendingAddresses.add(address)) {
      return;
    }
    ClockReading sent = Clocks.read();
    FleetMessage message =
        contact.id().isPresent()
            ? messages.create(nowNanos, contact.id().get(), contact.scope())
            : messages.introduction();
    client.post(
        address,
        SYNC,
        Json.bytes(message),
        FleetMessage.class,
        new FleetClient.Listener<>() {
          @Override
          public void onResponse(FleetMessage response) {
            pendingAddresses.remove(address);
            apply(response);
            messages.applyConfirmation(response, sent);
            planner.answered(response.self().toRecord().id());
          }

          @Override
          public void onFailure() {
            pendingAddresses.remove(address);
            contact.id().ifPresent(id -> planner.failed(System.nanoTime(), id));
          }
        });
  }

  private void apply(FleetMessage message) {
    if (messages.apply(System.nanoTime(), message, planner.isRelay())) {
      pullPublished(message.self().toRecord());
    }
  }

  private void pullPublished(PeerRecord peer) {
    if (!pulling.compareAndSet(false, true)) {
      return;
    }
    client.get(
        peer.controlAddress(),
        PUBLISHED,
        PublishedCopy.class,
        new FleetClient.Listener<>() {
          @Override
          public void onResponse(PublishedCopy copy) {
            applyCopy(peer, copy);
            pulling.set(false);
          }

          @Override
          public void onFailure() {
            pulling.set(false);
            LOGGER.atInfo().log("fleet: event=no-copy from=%s", peer.id());
          }
        });
  }

  private void applyCopy(PeerRecord peer, PublishedCopy copy) {
    ItemSnapshot snapshot = copy.toSnapshot();
    if (snapshot.revision().isAfter(updater.revision())) {
      updater.replace(peer.id().value(), snapshot);
    }
  }

  /** Closes idle connections, which may be stale after a pause of this process. */
  public void evictConnections() {
    client.evictConnections();
  }
}
