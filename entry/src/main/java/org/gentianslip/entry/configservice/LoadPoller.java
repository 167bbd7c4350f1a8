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
import org.gentianslip.entry.state.EngineState;
import org.gentianslip.entry.state.EngineTable;
import org.gentianslip.entry.state.ObservedEngineLoad;

/** Polls the load reports of the engines of this region. Safe for use by several threads. */
public final class LoadPoller {

  private static final Duration TIMEOUT = Duration.ofSeconds(1);
  private static final long MAX_REPORT_BYTES = 64 * 1024;

  private final EngineTable engines;
  private final OkHttpClient client;
  private final EntryMetrics metrics;
  private final Runnable announceLeaving;
  private final Runnable onReport;

  /**
   * Creates a poller.
   *
   * @param announceLeaving announces to the peers that an engine is leaving
   * @param onReport runs after each report
   */
  public LoadPoller(
      EngineTable engines,
      OkHttpClient client,
      EntryMetrics metrics,
      Runnable announceLeaving,
      Runnable onReport) {
    this.onReport = onReport;
    this.announceLeaving = announceLeaving;
    this.engines = engines;
    this.client = client.newBuilder().callTimeout(TIMEOUT).build();
    this.metrics = metrics;
  }

  /** Requests one report from every engine, without waiting for the responses. */
  public void pollAll() {
    for (EngineState engine : engines.engines()) {
      poll(engine);
    }
  }

  private void poll(EngineState engine) {
    var request =
        new Request.Builder().url("http://" + engine.record().address() + "/load").build();
    int inFlightWhenSent = engine.inFlight();
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
                    applyReport(
                        engine, inFlightWhenSent, response.peekBody(MAX_REPORT_BYTES).bytes());
                  }
                }
              }
            });
  }

  private void applyReport(EngineState engine, int inFlightWhenSent, byte[] body)
      throws IOException {
    metrics.controlMessage("load", 0, body.length);
    var report = Json.parse(body);
    long now = System.nanoTime();
    var load =
        new ObservedEngineLoad(
            report.path("slots").asInt(),
            report.path("running").asInt(),
            report.path("waiting").asInt(),
            report.path("leaving").asBoolean(),
            now);
    if (engines.applyReport(now, engine, load, inFlightWhenSent)) {
      announceLeaving.run();
    }
    onReport.run();
  }
}
