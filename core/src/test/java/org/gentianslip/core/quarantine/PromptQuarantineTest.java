package org.gentianslip.core.quarantine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.load.PromptPart;
import org.gentianslip.core.load.RequestSize;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("A prompt quarantine")
class PromptQuarantineTest {

  private static final long MILLI = 1_000_000L;
  private static final long SECOND = 1_000 * MILLI;

  private final PromptQuarantine quarantine = new PromptQuarantine(InstanceId.of("self"), 0);
  private int requests;
  private int engines;

  private static RequestTraits prompt(String... parts) {
    List<PromptPart> list = Arrays.stream(parts).map(p -> new PromptPart(p, 100)).toList();
    String fingerprint = "request:" + String.join("+", parts);
    return RequestTraits.of(new RequestSize(list, 10, 10), () -> fingerprint);
  }

  /** Returns a prompt that ends with a part of its own. */
  private RequestTraits uniquePrompt(String... shared) {
    List<String> parts = new ArrayList<>(List.of(shared));
    parts.add("own" + requests++);
    return prompt(parts.toArray(String[]::new));
  }

  private EngineId newEngine() {
    return EngineId.of("e" + engines++);
  }

  private void crash(RequestTraits size, EngineId engine, long sentNanos, long crashedNanos) {
    quarantine.recordCrash("r" + requests++, engine, size, sentNanos, crashedNanos);
  }

  /** Crashes an engine each second, each time with a new prompt that has the given parts. */
  private void crashEachSecond(int times, long fromNanos, String... shared) {
    for (int i = 0; i < times; i++) {
      long crashedNanos = fromNanos + i * SECOND;
      crash(uniquePrompt(shared), newEngine(), crashedNanos - 200 * MILLI, crashedNanos);
    }
  }

  private boolean isHeld(long nowNanos, RequestTraits size) {
    return quarantine.holdNanos(nowNanos, size, part -> true).isPresent();
  }

  @Nested
  @DisplayName("with prompts that crash one engine after the other")
  class CrashAfterCrash {

    @Test
    void holdsThePartThatTheyHaveInCommon() {
      crashEachSecond(3, SECOND, "doc", "dead");
      assertThat(isHeld(4 * SECOND, uniquePrompt("doc", "dead")), is(true));
      assertThat(isHeld(4 * SECOND, uniquePrompt("other", "dead")), is(true));
    }

    @Test
    void doesNotHoldOtherPromptsWithTheSameFirstPart() {
      crashEachSecond(5, SECOND, "doc", "dead");
      assertThat(isHeld(7 * SECOND, uniquePrompt("doc", "sound")), is(false));
      assertThat(isHeld(7 * SECOND, uniquePrompt("doc")), is(false));
    }

    @Test
    void doesNotHoldPromptsThatWaitedAtTheSameEngines() {
      for (int i = 0; i < 5; i++) {
        EngineId engine = newEngine();
        long crashedNanos = (i + 1) * SECOND;
        crash(uniquePrompt("doc", "dead"), engine, crashedNanos - 200 * MILLI, crashedNanos);
        crash(uniquePrompt("busy"), engine, crashedNanos - 300 * MILLI, crashedNanos + MILLI);
        quarantine.recordCompletion(uniquePrompt("busy"), crashedNanos, crashedNanos + MILLI);
      }
      assertThat(isHeld(7 * SECOND, uniquePrompt("busy")), is(false));
      assertThat(isHeld(7 * SECOND, uniquePrompt("dead")), is(true));
    }

    @Test
    void holdsFirstPartsThatCrashWithAnyOther() {
      crashEachSecond(1, SECOND, "dead", "a");
      crashEachSecond(1, 2 * SECOND, "dead", "b");
      crashEachSecond(1, 3 * SECOND, "dead", "c");
      assertThat(isHeld(4 * SECOND, uniquePrompt("dead", "d")), is(true));
      assertThat(isHeld(4 * SECOND, uniquePrompt("a")), is(false));
    }

    @Test
    void holdsPartsThatWereSoundBefore() {
      quarantine.recordCompletion(uniquePrompt("dead"), 0, MILLI);
      crashEachSecond(5, SECOND, "dead");
      assertThat(isHeld(6 * SECOND, uniquePrompt("dead")), is(false));
      crashEachSecond(1, 7 * SECOND, "dead");
      assertThat(isHeld(8 * SECOND, uniquePrompt("dead")), is(true));
    }
  }

  @Nested
  @DisplayName("with crashes that prompts do not explain")
  class OtherCrashes {

    @Test
    void holdsNothingIfAllEnginesCrashAtOnce() {
      for (int i = 0; i < 8; i++) {
        EngineId engine = newEngine();
        for (int j = 0; j < 10; j++) {
          crash(uniquePrompt("doc"), engine, SECOND - 300 * MILLI, SECOND + i * 40 * MILLI);
        }
      }
      assertThat(isHeld(2 * SECOND, uniquePrompt("doc")), is(false));
    }

    @Test
    void holdsNothingIfOnePromptIsRepeated() {
      RequestTraits repeated = uniquePrompt("doc");
      for (int i = 1; i <= 4; i++) {
        crash(repeated, newEngine(), i * SECOND - 100 * MILLI, i * SECOND);
      }
      assertThat(isHeld(5 * SECOND, uniquePrompt("doc")), is(false));
    }

    @Test
    void holdsNothingIfAnswersCompleteInBetween() {
      for (int i = 1; i <= 10; i++) {
        crashEachSecond(1, i * SECOND, "doc");
        quarantine.recordCompletion(uniquePrompt("doc"), i * SECOND, i * SECOND + 500 * MILLI);
      }
      assertThat(isHeld(12 * SECOND, uniquePrompt("doc")), is(false));
    }
  }

  @Nested
  @DisplayName("with one request that is repeated unchanged")
  class RepeatedRequest {

    private final RequestTraits deadly = uniquePrompt("doc", "session");

    /** Crashes an engine each second, at which other requests with the same first part run. */
    private void crashWithOthers(int times, long fromNanos) {
      for (int i = 0; i < times; i++) {
        EngineId engine = newEngine();
        long crashedNanos = fromNanos + i * SECOND;
        crash(deadly, engine, crashedNanos - 200 * MILLI, crashedNanos);
        for (int j = 0; j < 5; j++) {
          crash(uniquePrompt("doc"), engine, crashedNanos - 300 * MILLI, crashedNanos + MILLI);
        }
      }
    }

    @Test
    void holdsItAfterThreeCrashes() {
      crashWithOthers(2, SECOND);
      assertThat(isHeld(3 * SECOND, deadly), is(false));
      crashWithOthers(1, 4 * SECOND);
      assertThat(isHeld(5 * SECOND, deadly), is(true));
    }

    @Test
    void holdsItAlsoWithoutParts() {
      RequestTraits plain = RequestTraits.of(RequestSize.UNKNOWN, () -> "request:plain");
      for (int i = 1; i <= 3; i++) {
        crash(plain, newEngine(), i * SECOND - 100 * MILLI, i * SECOND);
      }
      assertThat(isHeld(4 * SECOND, plain), is(true));
    }

    @Test
    void doesNotHoldThePartsThatOthersShareWithIt() {
      crashWithOthers(5, SECOND);
      assertThat(isHeld(7 * SECOND, uniquePrompt("doc")), is(false));
      assertThat(isHeld(7 * SECOND, uniquePrompt("doc", "session")), is(false));
    }

    @Test
    void doesNotHoldAnotherRequestThatWasBrokenOffLessOften() {
      RequestTraits other = uniquePrompt("doc");
      EngineId[] engines = {newEngine(), newEngine(), newEngine(), newEngine()};
      for (int i = 0; i < engines.length; i++) {
        crash(deadly, engines[i], (i + 1) * SECOND - 200 * MILLI, (i + 1) * SECOND);
      }
      for (int i = 0; i < 3; i++) {
        crash(other, engines[i], (i + 1) * SECOND - 100 * MILLI, (i + 1) * SECOND);
      }
      assertThat(isHeld(6 * SECOND, deadly), is(true));
      assertThat(isHeld(6 * SECOND, other), is(false));
    }

    @Test
    void triesItSeldomOnceItIsHeld() {
      crashWithOthers(3, SECOND);
      int tries = 0;
      for (long now = 4 * SECOND; now < 10 * 60 * SECOND; now += SECOND) {
        if (!isHeld(now, deadly)) {
          tries++;
          crash(deadly, newEngine(), now, now + 100 * MILLI);
        }
      }
      assertThat(tries, is(lessThanOrEqualTo(3)));
    }

    @Test
    void releasesItWhenAnAnswerCompletes() {
      crashWithOthers(3, SECOND);
      assertThat(isHeld(5 * SECOND, deadly), is(true));
      quarantine.recordCompletion(deadly, 5 * SECOND, 6 * SECOND);
      assertThat(isHeld(7 * SECOND, deadly), is(false));
    }

    @Test
    void holdsThePartIfSeveralSuchRequestsHaveItInCommon() {
      for (int i = 0; i < 3; i++) {
        RequestTraits request = uniquePrompt("doc", "dead");
        for (int j = 0; j < 3; j++) {
          long crashedNanos = (1 + 3 * i + j) * SECOND;
          crash(request, newEngine(), crashedNanos - 200 * MILLI, crashedNanos);
        }
        quarantine.recordCompletion(uniquePrompt("doc"), (4 + 3 * i) * SECOND, 20 * SECOND);
      }
      assertThat(isHeld(21 * SECOND, uniquePrompt("doc", "dead")), is(true));
      assertThat(isHeld(21 * SECOND, uniquePrompt("doc")), is(false));
    }
  }

  @Nested
  @DisplayName("once a part is held")
  class Held {

    private final RequestTraits dead = prompt("doc", "dead", "own");

    private void hold() {
      crashEachSecond(3, SECOND, "doc", "dead");
      assertThat(isHeld(4 * SECOND, dead), is(true));
    }

    @Test
    void releasesItWhenAnAnswerCompletes() {
      hold();
      quarantine.recordCompletion(dead, 4 * SECOND, 5 * SECOND);
      assertThat(isHeld(6 * SECOND, dead), is(false));
    }

    @Test
    void letsOneInstanceTryOneRequestLater() {
      hold();
      assertThat(isHeld(32 * SECOND, dead), is(true));
      long laterNanos = 34 * SECOND;
      assertThat(quarantine.holdNanos(laterNanos, dead, part -> false).isPresent(), is(true));
      assertThat(isHeld(laterNanos, dead), is(false));
      assertThat(isHeld(laterNanos + SECOND, dead), is(true));
    }

    @Test
    void holdsItLongerAfterFailedTries() {
      hold();
      long triedNanos = 34 * SECOND;
      assertThat(isHeld(triedNanos, dead), is(false));
      crash(dead, newEngine(), triedNanos, triedNanos + SECOND);
      assertThat(isHeld(triedNanos + 55 * SECOND, dead), is(true));
      assertThat(isHeld(triedNanos + 65 * SECOND, dead), is(false));
    }

    @Test
    void reportsTheBeginAndTheEnd() {
      hold();
      List<QuarantineChange> begun = quarantine.update(4 * SECOND);
      assertThat(begun, hasSize(1));
      assertThat(begun.get(0).begun(), is(true));
      quarantine.recordCompletion(dead, 4 * SECOND, 5 * SECOND);
      List<QuarantineChange> ended = quarantine.update(6 * SECOND);
      assertThat(ended, hasSize(1));
      assertThat(ended.get(0).begun(), is(false));
      assertThat(quarantine.update(7 * SECOND), is(empty()));
    }
  }

  @Nested
  @DisplayName("that exchanges evidence")
  class Exchange {

    private static final long DELAY = 300 * MILLI;

    private final InstanceId selfId = InstanceId.of("self");
    private final InstanceId peerId = InstanceId.of("peer");
    private final PromptQuarantine peer = new PromptQuarantine(peerId, 0);

    private void pass(
        long nowNanos, PromptQuarantine from, InstanceId source, PromptQuarantine to) {
      EvidenceBatch batch = from.recordedAfter(0, peerId, 100);
      batch.crashes().forEach(c -> to.applyCrash(nowNanos + DELAY, source, c));
      batch.completions().forEach(c -> to.applyCompletion(nowNanos + DELAY, source, c));
    }

    @Test
    void holdsPartsAfterCrashesThatOthersSaw() {
      crashEachSecond(2, SECOND, "doc", "dead");
      peer.recordCrash("p1", newEngine(), uniquePrompt("doc", "dead"), 2 * SECOND, 3 * SECOND);
      pass(3 * SECOND, quarantine, selfId, peer);
      RequestTraits dead = uniquePrompt("dead");
      assertThat(peer.holdNanos(4 * SECOND, dead, p -> true).isPresent(), is(true));
    }

    @Test
    void doesNotHoldPartsThatCompleteElsewhere() {
      quarantine.recordCompletion(uniquePrompt("doc"), 0, SECOND / 2);
      crashEachSecond(4, SECOND, "doc");
      quarantine.recordCompletion(uniquePrompt("doc"), 5 * SECOND, 6 * SECOND);
      pass(6 * SECOND, quarantine, selfId, peer);
      RequestTraits doc = uniquePrompt("doc");
      assertThat(peer.holdNanos(7 * SECOND, doc, p -> true).isPresent(), is(false));
    }

    @Test
    void countsEachCrashOnceHoweverOftenItIsReported() {
      crashEachSecond(2, SECOND, "dead");
      for (CrashReport crash : quarantine.recordedAfter(0, peerId, 100).crashes()) {
        for (int i = 0; i < 5; i++) {
          long delayNanos = i * 2 * SECOND;
          var delayed =
              new CrashReport(
                  crash.request(),
                  crash.engine(),
                  crash.parts(),
                  crash.prompt(),
                  crash.fingerprint(),
                  crash.sentNanos() + delayNanos,
                  crash.crashedNanos() + delayNanos);
          peer.applyCrash(20 * SECOND, selfId, delayed);
        }
      }
      RequestTraits dead = uniquePrompt("dead");
      assertThat(peer.holdNanos(21 * SECOND, dead, p -> true).isPresent(), is(false));
    }

    @Test
    void sendsNoMoreThanTheLimitAndTheRestLater() {
      crashEachSecond(7, SECOND, "dead");
      EvidenceBatch first = quarantine.recordedAfter(0, peerId, 4);
      EvidenceBatch second = quarantine.recordedAfter(first.number(), peerId, 4);
      assertThat(first.crashes(), hasSize(4));
      assertThat(second.crashes(), hasSize(3));
      assertThat(quarantine.recordedAfter(second.number(), peerId, 4).crashes(), is(empty()));
    }

    @Test
    void reportsCompletedAnswersOnlyWhileTheyRefuteCrashes() {
      crashEachSecond(1, SECOND, "doc");
      for (int i = 0; i < 100; i++) {
        long sentNanos = 2 * SECOND + i * 10 * MILLI;
        quarantine.recordCompletion(uniquePrompt("doc"), sentNanos, sentNanos + MILLI);
      }
      long changes = quarantine.recordedAfter(0, peerId, 100).number();
      assertThat((int) changes, is(lessThanOrEqualTo(2)));
    }
  }
}
