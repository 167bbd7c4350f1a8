package org.gentianslip.entry.configservice;

import java.io.IOException;
import java.time.Duration;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.gentianslip.entry.http.Json;
import org.gentianslip.entry.metrics.EntryMetrics;
import org.gentianslip.entry.state.EngineLoad;
import org.gentianslip.entry.state.EngineState;
import org.gentianslip.entry.state.EngineTable;

/** Reads the load reports of the region's engines. Safe for use by several threads. */
public final class LoadPoller {

  private static final Duration TIMEOUT = Duration.ofSeconds(1);
  private static final long MAX_REPORT_BYTES = 64 * 1024;

  private final EngineTable engines;
  private final OkHttpClient client;
  private final EntryMetrics metrics;
  private final Runnable announce;
  private final Runnable changed;

  /**
   * Creates a poller.
   *
   * @param announce tells the peers at once that an engine is leaving
   * @param changed is run after each report
   */
  public LoadPoller(
      EngineTable engines,
      OkHttpClient client,
      EntryMetrics metrics,
      Runnable announce,
      Runnable changed) {
    this.changed = changed;
    this.announce = announce;
    this.engines = engines;
    this.client = client.newBuilder().callTimeout(TIMEOUT).build();
    this.metrics = metrics;
  }

  /** Asks every engine once. */
  public void pollAll() {
    for (EngineState engine : engines.engines()) {
      ask(engine);
    }
  }

  private void ask(EngineState engine) {
    var request =
        new Request.Builder().url("http://" + engine.listed().address() + "/load").build();
    int ownInFlight = engine.inFlight();
    client
        .newCall(request)
        .enqueue(
            new Callback() {
              @Override
              public void onFailure(Call call, IOException e) {
                metrics.controlMessage("load-failed", 0, 0);
              }

              @Override
              public void onResponse(Call call, Response response) throws IOException {
                try (response) {
                  if (response.isSuccessful()) {
                    report(engine, ownInFlight, response.peekBody(MAX_REPORT_BYTES).bytes());
                  }
                }
              }
            });
  }

  private void report(EngineState engine, int ownInFlight, byte[] body) throws IOException {
    metrics.controlMessage("load", 0, body.length);
    var node = Json.parse(body);
    long now = System.nanoTime();
    var load =
        new EngineLoad(
            node.path("slots").asInt(),
            node.path("running").asInt(),
            node.path("waiting").asInt(),
            node.path("leaving").asBoolean(),
            now);
    if (engines.applyReport(now, engine, load, ownInFlight)) {
      announce.run();
    }
    changed.run();
  }
}
