package org.gentianslip.core.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.route.EngineProfile;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("A group of backend servers")
class BackendGroupTest {

  private static final EngineProfile ENGINE = new EngineProfile(64, 350_000, 7, 327_680, 260_000);
  private static final Predicate<EngineId> ANY = id -> true;

  /** One fifth above the mean number of requests per engine. */
  private static final int MAX_RUNNING = 12;

  private final SplittableRandom random = new SplittableRandom(7);

  private static BackendGroup.Member member(int number) {
    var backend =
        new Backend(
            EngineId.of("e" + number),
            ServiceId.of("s"),
            "10.0.0.1:80",
            DataCentreId.of("z"),
            64,
            false,
            0,
            0);
    return new BackendGroup.Member(backend, new BackendLoad(64, ENGINE));
  }

  private static List<BackendGroup.Member> members(int count) {
    List<BackendGroup.Member> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(member(i));
    }
    return members;
  }

  private static RequestSize prompt(String shared) {
    var own = new PromptPart("own", 3_700);
    return new RequestSize(List.of(new PromptPart(shared, 13_000), own), 100, 0);
  }

  private Candidates candidates(
      BackendGroup group, Predicate<EngineId> usable, RequestSize size, List<EngineId> holders) {
    return group.candidates(0, SendRates.UNRESTRICTED, usable, size, holders, random);
  }

  private static Set<EngineId> ids(Candidates candidates) {
    Set<EngineId> ids = new HashSet<>();
    candidates.options().forEach(option -> ids.add(option.backend().id()));
    return ids;
  }

  @Nested
  @DisplayName("that is small")
  class Small {

    @Test
    void offersAllMembers() {
      BackendGroup group = BackendGroup.of(members(BackendGroup.MAX_FULL_SCAN));
      assertThat(
          candidates(group, ANY, prompt("p"), List.of()).options(),
          hasSize(BackendGroup.MAX_FULL_SCAN));
    }

    @Test
    void omitsMembersThatTheRequestMayNotUse() {
      BackendGroup group = BackendGroup.of(members(3));
      Candidates candidates =
          candidates(group, id -> !id.value().equals("e1"), prompt("p"), List.of());
      assertThat(ids(candidates), is(Set.of(EngineId.of("e0"), EngineId.of("e2"))));
    }

    @Test
    void omitsMembersThatAcceptNoWork() {
      List<BackendGroup.Member> members = members(2);
      members.get(0).load().recordUnreachable(0, 0);
      assertThat(
          ids(candidates(BackendGroup.of(members), ANY, prompt("p"), List.of())),
          is(Set.of(EngineId.of("e1"))));
    }
  }

  @Nested
  @DisplayName("of 1,300 engines")
  class Large {

    private final List<BackendGroup.Member> members = members(1_300);
    private final BackendGroup group = BackendGroup.of(members);

    @Test
    void limitsTheNumberOfCandidates() {
      List<EngineId> holders = members.stream().map(m -> m.backend().id()).limit(100).toList();
      assertThat(
          candidates(group, ANY, prompt("p"), holders).options().size(),
          lessThanOrEqualTo(1 + BackendGroup.MAX_HOLDERS + BackendGroup.SAMPLE_SIZE));
    }

    @Test
    void offersTheHoldersOfThePrompt() {
      EngineId holder = EngineId.of("e977");
      Candidates candidates = candidates(group, ANY, prompt("p"), List.of(holder));
      assertThat(ids(candidates).contains(holder), is(true));
    }

    @Test
    void offersAllEligibleMembersIfTheSampleHasNone() {
      Candidates candidates =
          candidates(group, id -> id.value().equals("e1299"), prompt("p"), List.of());
      assertThat(ids(candidates), is(Set.of(EngineId.of("e1299"))));
    }

    @Test
    void prefersTheSameEngineAtEveryInstance() {
      List<BackendGroup.Member> shuffled = new ArrayList<>(members(1_300));
      Collections.reverse(shuffled);
      BackendGroup other = BackendGroup.of(shuffled);
      for (int i = 0; i < 100; i++) {
        RequestSize size = prompt("p" + i);
        assertThat(
            candidates(other, ANY, size, List.of()).preferred(),
            equalTo(candidates(group, ANY, size, List.of()).preferred()));
      }
    }

    @Test
    void movesFewPromptsWhenAnEngineLeaves() {
      BackendGroup smaller = BackendGroup.of(members.subList(0, 1_299));
      int moved = 0;
      for (int i = 0; i < 5_000; i++) {
        RequestSize size = prompt("p" + i);
        Optional<EngineId> before = candidates(group, ANY, size, List.of()).preferred();
        Optional<EngineId> after = candidates(smaller, ANY, size, List.of()).preferred();
        assertThat(after, is(not(Optional.of(EngineId.of("e1299")))));
        moved += before.equals(after) ? 0 : 1;
      }
      assertThat(moved, lessThan(5_000 / 100));
    }

    @Test
    void spreadsLoadWithoutReportsFromPeers() {
      Map<EngineId, Integer> running = new HashMap<>();
      for (int i = 0; i < 13_000; i++) {
        var size = new RequestSize(List.of(new PromptPart("own" + i, 500)), 10, 0);
        Candidates candidates =
            group.candidates(0, SendRates.UNRESTRICTED, ANY, size, List.of(), random);
        BackendOption best = null;
        double shortestMillis = Double.MAX_VALUE;
        for (BackendOption option : candidates.options()) {
          double expectedMillis =
              option.load().estimate(0, false, size, Optional.empty()).totalMillis();
          if (expectedMillis < shortestMillis) {
            best = option;
            shortestMillis = expectedMillis;
          }
        }
        BackendEstimate estimate = best.load().estimate(0, false, size, Optional.empty());
        best.load().reserve(0, false, size, estimate);
        running.merge(best.backend().id(), 1, Integer::sum);
      }
      int maxRunning = running.values().stream().mapToInt(Integer::intValue).max().orElse(0);
      assertThat(maxRunning, lessThanOrEqualTo(MAX_RUNNING));
    }
  }

  @Nested
  @DisplayName("that many instances use")
  class ManyInstances {

    @Test
    void countsTheRequestsOfEachInstance() {
      var load = new BackendLoad(64, ENGINE);
      for (int i = 0; i < 250; i++) {
        load.recordPeerLoad(
            LoadSource.instance(InstanceId.of("i" + i)), new PeerLoad(1, 2, 3, 1_000));
        load.recordPeerLoad(
            LoadSource.instance(InstanceId.of("i" + i)), new PeerLoad(2, 4, 6, 2_000));
      }
      BackendEstimate e = load.estimate(2_000, false, RequestSize.UNKNOWN, Optional.empty());
      assertThat(e.running(), is(500));
      assertThat(e.waitMillis() >= 250 * 10, is(true));
    }

    @Test
    void dropsTheLoadOfSilentInstances() {
      var load = new BackendLoad(64, ENGINE);
      load.recordPeerLoad(LoadSource.instance(InstanceId.of("silent")), new PeerLoad(5, 0, 0, 0));
      load.recordPeerLoad(
          LoadSource.instance(InstanceId.of("heard")), new PeerLoad(1, 0, 0, 1_000_000_000));
      BackendEstimate e =
          load.estimate(1_600_000_000, false, RequestSize.UNKNOWN, Optional.empty());
      assertThat(e.running(), is(1));
    }
  }
}
