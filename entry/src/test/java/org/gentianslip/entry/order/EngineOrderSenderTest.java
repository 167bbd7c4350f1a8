package org.gentianslip.entry.order;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasEntry;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import okhttp3.OkHttpClient;
import org.gentianslip.core.id.Incarnation;
import org.gentianslip.core.id.Revision;
import org.gentianslip.core.order.OrderTimes;
import org.gentianslip.entry.configservice.BackendRecord;
import org.gentianslip.entry.configservice.InstanceList;
import org.gentianslip.entry.configservice.InstanceRecord;
import org.gentianslip.entry.state.FleetState;
import org.gentianslip.entry.testing.EntryConfigs;
import org.gentianslip.settings.ParseResult;
import org.gentianslip.settings.Settings;
import org.gentianslip.settings.SettingsDocument;
import org.gentianslip.settings.SettingsParser;
import org.gentianslip.standin.engine.EngineOptions;
import org.gentianslip.standin.engine.EngineStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class EngineOrderSenderTest {

  private static final OrderTimes SHORT_TIMES =
      OrderTimes.of(Duration.ofMillis(400), Duration.ofMillis(200), Duration.ofMillis(200));
  private static final OrderTimes LONG_TIMES =
      OrderTimes.of(Duration.ofHours(1), Duration.ofSeconds(5), Duration.ofHours(1));

  private final OkHttpClient client = new OkHttpClient();
  private FleetState state;
  private boolean ignoresFences;
  private EngineStandin engine = startEngine(true);

  @AfterEach
  void close() {
    engine.close();
    client.dispatcher().executorService().shutdown();
  }

  @Nested
  class WhenItIsTheAuthor {

    @Test
    void setsTheRoleOfAnEngineThatChecksFences() {
      var sender = newSender(LONG_TIMES, "a", "{\"engineRole\":\"prefill\"}");
      sender.sendDue();
      assertThat(engine.state().role(), is("prefill"));
      assertThat(engine.state().fence().version(), is(7L));
    }

    @Test
    void sendsNoOrderTwice() {
      var sender = newSender(LONG_TIMES, "a", "{\"engineRole\":\"prefill\"}");
      sender.sendDue();
      sender.sendDue();
      assertThat(engine.state().accepted(), hasSize(1));
      assertThat(sender.lastReasons(), hasEntry("engine", "at_target"));
    }

    @Test
    void loadsModelsAfterTheQuietTime() {
      var sender =
          newSender(
              SHORT_TIMES,
              "a",
              "{\"engineModels\":[\"m\",\"n\"],\"weightStoreLoadsPerMinute\":6000}");
      await()
          .atMost(Duration.ofSeconds(50))
          .until(
              () -> {
                sender.onListConfirmed(instanceList("a"), System.nanoTime());
                sender.sendDue();
                return engine.state().models().contains("n");
              });
      assertThat(engine.state().accepted(), hasSize(1));
    }

    @Test
    void waitsForTheQuietTimeIfTheEngineIgnoresFences() {
      engine.close();
      engine = startEngine(false);
      var sender = newSender(LONG_TIMES, "a", "{\"engineRole\":\"prefill\"}");
      sender.sendDue();
      assertThat(engine.state().accepted(), is(empty()));
      assertThat(sender.lastReasons(), hasEntry("engine", "quiet_time"));
    }

    @Test
    void sendsNothingAfterAnOrderBasedOnLaterLists() {
      newSender(LONG_TIMES, "a", "{\"engineRole\":\"decode\"}", 8).sendDue();
      var sender = newSender(LONG_TIMES, "a", "{\"engineRole\":\"prefill\"}");
      sender.sendDue();
      assertThat(engine.state().role(), is("decode"));
      assertThat(sender.lastReasons(), hasEntry("engine", "later_order_taken"));
    }
  }

  @Test
  void sendsNothingIfPeersUseLaterLists() {
    var sender = newSender(LONG_TIMES, "a", "{\"engineRole\":\"prefill\"}");
    state.recordPeerListVersion(8);
    sender.sendDue();
    assertThat(engine.state().accepted(), is(empty()));
    assertThat(sender.lastReasons(), hasEntry("engine", "later_list_known"));
  }

  @Test
  void sendsNothingToTheEnginesOfOtherAuthors() {
    var sender = newSender(LONG_TIMES, "b", "{\"engineRole\":\"prefill\"}");
    sender.sendDue();
    assertThat(engine.state().accepted(), is(empty()));
    assertThat(sender.lastReasons(), hasEntry("engine", "not_author"));
  }

  @Test
  void sendsNothingIfNoDesiredStateIsSet() {
    newSender(LONG_TIMES, "a", "{}").sendDue();
    assertThat(engine.state().accepted(), is(empty()));
    assertThat(engine.state().models(), contains("m"));
  }

  private EngineOrderSender newSender(OrderTimes times, String listedInstance, String values) {
    return newSender(times, listedInstance, values, 7);
  }

  private EngineOrderSender newSender(
      OrderTimes times, String listedInstance, String values, long version) {
    state = new FleetState(EntryConfigs.inGraz("a"), Incarnation.of(1));
    var list = instanceList(listedInstance, version);
    state.updateInstanceList(System.nanoTime(), list);
    state.putSettings(settings(values));
    var sender = new EngineOrderSender(state, client, times);
    sender.onListConfirmed(list, System.nanoTime());
    return sender;
  }

  private static Settings settings(String values) {
    String part =
        """
        {"regions": [{"id": "graz", "dataCentres": ["graz-1"]}],
         "models": ["m"],
         "customers": [{"id": "shop", "firm": "venture", "keySha256": "%s"}],
         "branches": [{"id": "venture", "level": "firm", "name": "venture", "values": %s}]}
        """
            .formatted("0".repeat(64), values);
    var document = new SettingsDocument("part", part.getBytes(StandardCharsets.UTF_8));
    var result = SettingsParser.parse(Revision.of(1), List.of(document));
    if (result instanceof ParseResult.Accepted accepted) {
      return accepted.settings();
    }
    throw new AssertionError(result.toString());
  }

  private InstanceList instanceList(String instance) {
    return instanceList(instance, 7);
  }

  private InstanceList instanceList(String instance, long version) {
    var entry =
        new InstanceRecord(
            instance, "graz", "graz-1", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "live");
    var backend =
        new BackendRecord(
            "engine",
            "graz",
            "graz-1",
            "127.0.0.1:" + engine.port(),
            "model",
            List.of("m"),
            null,
            8,
            !ignoresFences,
            "live");
    return new InstanceList(version, List.of(entry), List.of(backend));
  }

  private EngineStandin startEngine(boolean checksFencing) {
    ignoresFences = !checksFencing;
    return EngineStandin.start(
        EngineOptions.builder("engine")
            .models(List.of("m"))
            .checksFencing(checksFencing)
            .loadModelMillis(1)
            .build());
  }
}
