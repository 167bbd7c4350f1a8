package org.gentianslip.demo;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.instanceOf;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.gentianslip.demo.fleet.EnginePlan;
import org.gentianslip.demo.fleet.Fleet;
import org.gentianslip.demo.fleet.RegionPlan;
import org.gentianslip.load.call.Reply;
import org.gentianslip.load.work.CallSpec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Kills processes while streams are in flight. Each test has its own fleet. */
@DisplayName("A stream that is cut off never looks complete")
class BrokenStreamTest {

  private static final String ENTRY = "pk-central-1";
  private static final String ENGINE = "pk-central-engine-1";
  private static final int STREAMS = 8;
  private static final int TOKENS = 400;
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private Fleet fleet;
  private TestCaller caller;

  @BeforeEach
  void start() throws IOException {
    fleet = SmallFleet.start(new EnginePlan(16, 16, 20), RegionPlan.of("pk-central", 1, 1, 0));
    caller = new TestCaller(Duration.ofSeconds(30));
  }

  @AfterEach
  void stop() {
    if (fleet != null) {
      caller.close();
      fleet.close();
    }
  }

  @Test
  void whenItsEntryInstanceIsKilled() {
    List<CompletableFuture<Reply>> replies = startStreams();

    fleet.process(ENTRY).kill();

    assertThat(join(replies), everyItem(instanceOf(Reply.Unknown.class)));
  }

  @Test
  void whenItsEngineIsKilled() {
    List<CompletableFuture<Reply>> replies = startStreams();

    fleet.process(ENGINE).kill();

    assertThat(join(replies), everyItem(instanceOf(Reply.Unknown.class)));
  }

  private List<CompletableFuture<Reply>> startStreams() {
    List<CallSpec> specs = Stream.generate(() -> TestCalls.stream(TOKENS)).limit(STREAMS).toList();
    List<CompletableFuture<Reply>> replies = caller.start(fleet.entry(ENTRY), specs);
    await()
        .atMost(TIMEOUT)
        .until(() -> fleet.statistics(ENGINE).path("started").asInt(), n -> n == STREAMS);
    return replies;
  }

  private static List<Reply> join(List<CompletableFuture<Reply>> replies) {
    return replies.stream().map(CompletableFuture::join).toList();
  }
}
