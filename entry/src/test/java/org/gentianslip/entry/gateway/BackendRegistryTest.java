package org.gentianslip.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.sameInstance;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.limit.StatedLimit;
import org.gentianslip.core.load.BackendLoad;
import org.gentianslip.core.load.Candidates;
import org.gentianslip.core.load.PromptPart;
import org.gentianslip.core.load.RequestSize;
import org.gentianslip.core.load.Warmth;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.published.PublishedState;
import org.gentianslip.core.published.Revision;
import org.gentianslip.core.route.CallerLimits;
import org.gentianslip.core.route.EngineProfile;
import org.gentianslip.core.route.RouteTable;
import org.gentianslip.core.route.ServiceProfile;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("The registry of backend servers")
class BackendRegistryTest {

  private static final ServiceId FARM = ServiceId.of("farm");
  private static final DataCentreId CENTRE = DataCentreId.of("north-a");
  private static final RegionId NORTH = RegionId.of("north");
  private static final EngineId ENGINE = EngineId.of("e1");
  private static final long COLD_NANOS = 3_000_000_000L;
  private static final RequestSize PROMPT =
      new RequestSize(List.of(new PromptPart("shared", 9_000), new PromptPart("own", 100)), 10, 0);

  private final GatewayConfig config =
      new GatewayConfig(
          InstanceId.of("i1"),
          NORTH,
          CENTRE,
          Map.of(CENTRE, NORTH),
          "127.0.0.1",
          1,
          2,
          3,
          List.of(),
          100,
          new GatewayBounds(0.2, 56, 10_000, 1.5, 3, 8_000));
  private final BackendRegistry registry =
      new BackendRegistry(() -> config, new GatewayState(config, 1).fleet(), -COLD_NANOS);

  private static PublishedState published(Optional<RouteTable> routes) {
    return published(routes, 0, 0);
  }

  private static PublishedState published(
      Optional<RouteTable> routes, long startedMillis, long coldMillis) {
    var backend =
        new Backend(ENGINE, FARM, "127.0.0.1:80", CENTRE, 64, false, coldMillis, startedMillis);
    return new PublishedState(Revision.of(1, 1), routes, Map.of(ENGINE, backend), Set.of());
  }

  private static PublishedState withService() {
    return withStart(0, 0);
  }

  private static PublishedState withStart(long startedMillis, long coldMillis) {
    var engine = new EngineProfile(64, 350_000, 7, 327_680, 260_000);
    var farm = new ServiceProfile(FARM, 100, 3_000, 9, Optional.of(engine));
    return published(
        Optional.of(RouteTable.of(1, List.of(), List.of(farm), CallerLimits.DEFAULT)),
        startedMillis,
        coldMillis);
  }

  private Candidates candidates(PublishedState state) {
    return registry.candidates(0, state, FARM, id -> true, PROMPT, List.of());
  }

  @Nested
  @DisplayName("if an engine is published before its service")
  class EngineBeforeService {

    @Test
    void estimatesPromptTokensOnceTheServiceIsKnown() {
      registry.applyPublished(0, PublishedState.NONE, published(Optional.empty()));
      registry.applyPublished(0, published(Optional.empty()), withService());
      BackendLoad load = candidates(withService()).options().get(0).load();
      assertThat(
          load.estimate(0, false, PROMPT, Optional.empty()).sharedPrefillTokens(), is(9_000L));
    }

    @Test
    void keepsTheEngineColdOnceTheServiceIsKnown() {
      registry.applyPublished(0, PublishedState.NONE, published(Optional.empty()));
      registry.load(ENGINE).orElseThrow().markColdUntil(COLD_NANOS);
      registry.applyPublished(0, published(Optional.empty()), withService());
      BackendLoad load = candidates(withService()).options().get(0).load();
      load.reserve(0, false, PROMPT, load.estimate(0, false, PROMPT, Optional.empty()));
      assertThat(load.acceptsWork(1, () -> 1), is(false));
    }
  }

  @Nested
  @DisplayName("of a new process")
  class NewProcess {

    private static final int ALLOWED_PER_SECOND = 17;

    private final List<Backend> asked = new ArrayList<>();
    private final PublishedState listed = withStart(1_000, 0);
    private final BackendRegistry started =
        new BackendRegistry(() -> config, new GatewayState(config, 1).fleet(), 0);

    @BeforeEach
    void publish() {
      started.setStartCheck(asked::add);
      started.applyPublished(0, PublishedState.NONE, listed);
    }

    private Warmth warmth(long nowNanos) {
      return started.load(ENGINE).orElseThrow().warmth(nowNanos);
    }

    private Backend onlyBackend() {
      return listed.backends().get(ENGINE);
    }

    @Test
    void sendsAtTheColdRate() {
      assertThat(warmth(1), is(Warmth.UNCONFIRMED));
    }

    @Test
    void asksAnEngineThatWouldGetMoreWorkWhenItStarted() {
      for (int i = 0; i <= ALLOWED_PER_SECOND; i++) {
        send();
      }
      assertThat(asked, is(List.of(onlyBackend())));
    }

    private void send() {
      started
          .candidates(1, listed, FARM, id -> true, PROMPT, List.of())
          .options()
          .forEach(
              o ->
                  o.load()
                      .reserve(
                          1, false, PROMPT, o.load().estimate(1, false, PROMPT, Optional.empty())));
      if (!asked.isEmpty()) {
        started.recordStart(1, listed, onlyBackend(), 1_000);
      }
    }

    @Test
    void trustsAnEngineThatHasNotStartedAgain() {
      started.recordStart(1, listed, onlyBackend(), 1_000);
      assertThat(warmth(2), is(Warmth.WARM));
    }

    @Test
    void marksAnEngineColdThatHasStartedSince() {
      started.recordStart(1, listed, onlyBackend(), 2_000);
      assertThat(warmth(COLD_NANOS), is(Warmth.COLD));
    }

    @Test
    void trustsTheListOnceTheEntryOfLaterStartsHasArrived() {
      assertThat(warmth(COLD_NANOS / 2), is(Warmth.WARM));
    }

    @Test
    void awaitsThatEntryForLongerIfServersPublishSeldom() {
      started.setHeartbeatMillis(3_000);
      started.applyPublished(0, PublishedState.NONE, listed);
      assertThat(warmth(COLD_NANOS), is(Warmth.UNCONFIRMED));
    }
  }

  @Nested
  @DisplayName("if the backend servers of a service bear few refusals")
  class FewRefusals {

    private static final EngineId NEW_ENGINE = EngineId.of("e2");

    private PublishedState withNewEngineAlone() {
      var backend = new Backend(NEW_ENGINE, FARM, "127.0.0.1:81", CENTRE, 64, false, 0, 0);
      return new PublishedState(
          Revision.of(2, 1), withService().routes(), Map.of(NEW_ENGINE, backend), Set.of());
    }

    private boolean presumesLimitOfNewEngine() {
      registry.applyPublished(0, withService(), withNewEngineAlone());
      return registry.load(NEW_ENGINE).flatMap(BackendLoad::refusalLimit).isPresent();
    }

    @Test
    void presumesTheSameOfOneThatStartsLater() {
      registry.applyPublished(0, PublishedState.NONE, withService());
      registry.load(ENGINE).orElseThrow().applyRefusalLimit(new StatedLimit(5, 0));
      assertThat(presumesLimitOfNewEngine(), is(true));
    }

    @Test
    void presumesNothingOnceAnAnswerDoesNotSaySo() {
      registry.applyPublished(0, PublishedState.NONE, withService());
      registry.load(ENGINE).orElseThrow().applyRefusalLimit(new StatedLimit(5, 0));
      registry.load(ENGINE).orElseThrow().endRefusalLimit(1, 2);
      assertThat(presumesLimitOfNewEngine(), is(false));
    }
  }

  @Test
  void keepsTheLoadObjectIfTheServiceIsUnchanged() {
    registry.applyPublished(0, PublishedState.NONE, withService());
    BackendLoad before = candidates(withService()).options().get(0).load();
    registry.applyPublished(0, withService(), withService());
    assertThat(candidates(withService()).options().get(0).load(), sameInstance(before));
  }

  @Nested
  @DisplayName("if a server starts again under its id")
  class SameId {

    private static final long NOW = 10_000_000_000L;
    private static final long COLD_MILLIS = 2_990;

    private final PublishedState first = withStart(1_000, COLD_MILLIS);
    private final PublishedState second = withStart(2_000, COLD_MILLIS);

    private BackendLoad loadOfSecondStart() {
      registry.applyPublished(NOW, first, second);
      return registry.load(ENGINE).orElseThrow();
    }

    private void send(long nowNanos, BackendLoad load) {
      load.reserve(
          nowNanos, false, PROMPT, load.estimate(nowNanos, false, PROMPT, Optional.empty()));
    }

    @BeforeEach
    void publishFirstStart() {
      registry.applyPublished(0, PublishedState.NONE, first);
    }

    @Test
    void marksItColdAlsoIfItIsColdForAsLongAsBefore() {
      assertThat(loadOfSecondStart().warmth(NOW), is(Warmth.COLD));
    }

    @Test
    void countsWhatWasSentJustBefore() {
      send(NOW - 1, registry.load(ENGINE).orElseThrow());
      assertThat(loadOfSecondStart().acceptsWork(NOW, () -> 1), is(false));
    }

    @Test
    void forgetsThePauseOfTheStartBefore() {
      registry.load(ENGINE).orElseThrow().pauseUntil(NOW + COLD_NANOS);
      assertThat(loadOfSecondStart().acceptsWork(NOW, () -> 1), is(true));
    }

    @Test
    void forgetsTheLimitOfTheStartBefore() {
      registry.load(ENGINE).orElseThrow().applyLimit(new StatedLimit(0, 1));
      assertThat(loadOfSecondStart().limit(), is(Optional.empty()));
    }
  }
}
