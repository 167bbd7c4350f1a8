package org.gentianslip.core.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.gentianslip.core.fleet.ServiceWait;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.route.EngineProfile;
import org.gentianslip.core.route.Repeatability;
import org.gentianslip.core.route.Route;
import org.gentianslip.core.route.WeightedService;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("A backend selector")
class BackendSelectorTest {

  private static final EngineProfile ENGINE = new EngineProfile(64, 350_000, 7, 327_680, 260_000);
  private static final RequestSize LONG =
      new RequestSize(
          List.of(new PromptPart("shared", 13_000), new PromptPart("own", 3_700)), 100, 34_000);
  private static final RequestSize SHORT =
      new RequestSize(List.of(new PromptPart("a", 90), new PromptPart("b", 290)), 40, 770);

  private static Route route(int rank, long objectiveMillis) {
    return new Route(
        "r",
        "host",
        "/",
        Repeatability.RESUMABLE,
        true,
        8_000,
        objectiveMillis,
        2,
        rank,
        List.of(new WeightedService(ServiceId.of("s"), 1)),
        Set.of());
  }

  private static List<BackendOption> engines(int count) {
    List<BackendOption> options = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      var backend =
          new Backend(
              EngineId.of("e" + i),
              ServiceId.of("s"),
              "10.0.0." + i + ":80",
              DataCentreId.of("z"),
              64,
              false,
              0,
              0);
      options.add(new BackendOption(backend, new BackendLoad(64, ENGINE), Optional.empty()));
    }
    return options;
  }

  private static BackendDecision choose(
      RequestSize size, List<BackendOption> options, List<RegionOption> regions) {
    return BackendSelector.select(
        0, route(0, 1_000), size, 8_000, candidates(size, options), regions);
  }

  private static Candidates candidates(RequestSize size, List<BackendOption> options) {
    List<BackendGroup.Member> members =
        options.stream().map(o -> new BackendGroup.Member(o.backend(), o.load())).toList();
    return BackendGroup.of(members)
        .candidates(
            0, SendRates.UNRESTRICTED, id -> true, size, List.of(), new SplittableRandom(1));
  }

  private static Reservation reserve(BackendOption option, boolean urgent, RequestSize size) {
    BackendEstimate estimate = option.load().estimate(0, urgent, size, option.fetch());
    return option.load().reserve(0, urgent, size, estimate);
  }

  private static String selectedId(BackendDecision choice) {
    return ((BackendDecision.ToBackend) choice).option().backend().id().value();
  }

  @Test
  void refusesUntilTheFirstPauseEndsIfAllBackendServersPause() {
    List<BackendOption> options = engines(3);
    for (int i = 0; i < options.size(); i++) {
      options.get(i).load().pauseUntil((4L - i) * 1_000_000_000L);
    }
    var refusal = (BackendDecision.Refuse) choose(SHORT, options, List.of());
    assertThat(refusal.reason(), is(BackendSelector.PAUSED));
    assertThat(refusal.excessMillis(), is(2_000.0));
  }

  @Test
  void usesBackendServersThatDoNotPause() {
    List<BackendOption> options = engines(2);
    options.get(0).load().pauseUntil(4_000_000_000L);
    assertThat(selectedId(choose(SHORT, options, List.of())), is("e1"));
  }

  @Nested
  @DisplayName("with backend servers in two data centres")
  class TwoDataCentres {

    private final List<BackendOption> options = List.of(engine("far", "y"), engine("near", "z"));

    private static BackendOption engine(String id, String dataCentre) {
      var backend =
          new Backend(
              EngineId.of(id),
              ServiceId.of("farm"),
              "127.0.0.1:80",
              DataCentreId.of(dataCentre),
              64,
              false,
              0,
              0);
      return new BackendOption(backend, new BackendLoad(64, ENGINE), Optional.empty());
    }

    private String select(RequestSize size) {
      var candidates =
          new Candidates(options, Optional.empty(), Optional.of(DataCentreId.of("z")), 0);
      return selectedId(
          BackendSelector.select(0, route(0, 1_000), size, 8_000, candidates, List.of()));
    }

    @Test
    void selectsTheNearOneOfEqualOnes() {
      assertThat(select(SHORT), is("near"));
    }

    @Test
    void selectsTheFarOneIfItHasThePromptCached() {
      reserve(options.get(0), true, LONG).firstEventReceived(0);
      assertThat(select(LONG), is("far"));
    }

    @Test
    void selectsTheFarOneIfTheNearOneIsBusy() {
      reserve(options.get(1), true, LONG);
      assertThat(select(SHORT), is("far"));
    }
  }

  @Nested
  @DisplayName("for a long shared prompt")
  class LongPrompt {

    @Test
    void selectsTheEngineThatHasThePromptCached() {
      List<BackendOption> options = engines(4);
      reserve(options.get(2), true, LONG).firstEventReceived(0);
      assertThat(selectedId(choose(LONG, options, List.of())), is("e2"));
    }

    @Test
    void selectsTheSameEngineAtEveryInstanceWhileNoneHoldsThePrompt() {
      assertThat(
          selectedId(choose(LONG, engines(4), List.of())),
          is(selectedId(choose(LONG, engines(4), List.of()))));
    }

    @Test
    void avoidsAnEngineWithTooMuchToPrefill() {
      List<BackendOption> options = engines(2);
      reserve(options.get(0), true, LONG).firstEventReceived(0);
      for (int i = 0; i < 10; i++) {
        var other = new RequestSize(List.of(new PromptPart("x" + i, 10_000)), 10, 0);
        reserve(options.get(0), true, other);
      }
      assertThat(selectedId(choose(LONG, options, List.of())), is("e1"));
    }

    @Test
    void copiesThePromptFromAnEngineThatHoldsIt() {
      List<BackendOption> options = engines(2);
      Backend holder = options.get(1).backend();
      var copying =
          new BackendOption(
              options.get(0).backend(),
              options.get(0).load(),
              Optional.of(new PromptFetch(holder, ENGINE.copyMillisPerToken())));
      var choice =
          (BackendDecision.ToBackend)
              BackendSelector.select(
                  0,
                  route(0, 1_000),
                  LONG,
                  8_000,
                  new Candidates(List.of(copying), Optional.empty(), Optional.empty(), 0),
                  List.of());
      assertThat(choice.estimate().copiedTokens(), is(13_000L));
      assertThat(
          choice.estimate().prefillMillis(), is(3_700 / BackendLoad.PREFILL_TOKENS_PER_MILLI));
    }

    @Test
    void selectsTheRegionThatHoldsThePrompt() {
      var remote = new RegionOption(RegionId.of("far"), ServiceWait.UNKNOWN, 110, true);
      assertThat(
          choose(LONG, engines(2), List.of(remote)), instanceOf(BackendDecision.ToRegion.class));
    }

    @Test
    void staysInTheLocalRegionIfItHoldsThePromptToo() {
      List<BackendOption> options = engines(2);
      reserve(options.get(0), true, LONG).firstEventReceived(0);
      var remote = new RegionOption(RegionId.of("far"), ServiceWait.UNKNOWN, 110, true);
      assertThat(
          choose(LONG, options, List.of(remote)), instanceOf(BackendDecision.ToBackend.class));
    }

    @Test
    void staysInTheLocalRegionWhileTheWaitIsShort() {
      var remote = new RegionOption(RegionId.of("far"), ServiceWait.UNKNOWN, 110, false);
      assertThat(
          choose(LONG, engines(2), List.of(remote)), instanceOf(BackendDecision.ToBackend.class));
    }
  }

  @Nested
  @DisplayName("under load")
  class UnderLoad {

    private final List<BackendOption> busy = engines(1);

    private void addLoad(int prompts) {
      for (int i = 0; i < prompts; i++) {
        var size = new RequestSize(List.of(new PromptPart("p" + i, 10_000)), 10, 0);
        reserve(busy.get(0), false, size);
      }
    }

    @Test
    void selectsAnotherRegionThatAnswersSooner() {
      addLoad(4);
      var remote = new RegionOption(RegionId.of("far"), ServiceWait.UNKNOWN, 110, false);
      BackendDecision choice =
          BackendSelector.select(
              0, route(2, 3_000), SHORT, 4_000, candidates(SHORT, busy), List.of(remote));
      assertThat(choice, is(new BackendDecision.ToRegion(RegionId.of("far"), 110 + 380 / 50.0)));
    }

    @Test
    void refusesRequestsThatCannotBeServedInTime() {
      addLoad(30);
      BackendDecision choice =
          BackendSelector.select(
              0, route(2, 3_000), SHORT, 4_000, candidates(SHORT, busy), List.of());
      assertThat(choice, instanceOf(BackendDecision.Refuse.class));
    }

    @Test
    void servesUrgentRequestsAheadOfOtherWork() {
      addLoad(30);
      BackendDecision choice =
          BackendSelector.select(
              0, route(0, 6_000), SHORT, 8_000, candidates(SHORT, busy), List.of());
      assertThat(choice, not(instanceOf(BackendDecision.Refuse.class)));
    }
  }

  @Test
  void refusesWithoutBackendServersAndRegions() {
    assertThat(choose(SHORT, List.of(), List.of()), instanceOf(BackendDecision.Refuse.class));
  }

  @Test
  void avoidsAnEngineWithFailures() {
    List<BackendOption> options = engines(2);
    for (int i = 0; i < 5; i++) {
      reserve(options.get(0), false, SHORT).failed(0);
    }
    reserve(options.get(1), false, SHORT);
    assertThat(selectedId(choose(SHORT, options, List.of())), is("e1"));
  }
}
