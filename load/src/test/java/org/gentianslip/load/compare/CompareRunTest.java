package org.gentianslip.load.compare;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import mockwebserver3.Dispatcher;
import mockwebserver3.MockResponse;
import mockwebserver3.MockWebServer;
import mockwebserver3.RecordedRequest;
import org.gentianslip.load.work.ExpectedAnswer;
import org.gentianslip.load.work.Workload;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests {@link CompareRun} against scripted servers. */
class CompareRunTest {

  private static final int ENTRY_DELAY_MILLIS = 40;
  private static final int CALLERS = 2;

  private final MockWebServer direct = new MockWebServer();
  private final MockWebServer through = new MockWebServer();

  @AfterEach
  void stop() {
    direct.close();
    through.close();
  }

  @Test
  void measuresTheLatencyThatTheEntryAdds() throws IOException, InterruptedException {
    CompareReport report =
        run(new EngineDispatcher(0, ""), new EngineDispatcher(ENTRY_DELAY_MILLIS, ""));

    assertThat(report.firstTokenRatio(), greaterThan(1.0));
  }

  @Test
  void measuresTheLowerCallRateThroughSlowEntry() throws IOException, InterruptedException {
    CompareReport report =
        run(new EngineDispatcher(0, ""), new EngineDispatcher(ENTRY_DELAY_MILLIS, ""));

    assertThat(report.directPerSecond(), greaterThan(report.throughPerSecond()));
  }

  @Test
  void countsNoFailuresIfAllAnswersAreComplete() throws IOException, InterruptedException {
    assertThat(run(new EngineDispatcher(0, ""), new EngineDispatcher(0, "")).failures(), is(0L));
  }

  @Test
  void countsWrongAnswersAsFailures() throws IOException, InterruptedException {
    assertThat(
        run(new EngineDispatcher(0, ""), new EngineDispatcher(1, "x")).failures(), greaterThan(0L));
  }

  private CompareReport run(EngineDispatcher directly, EngineDispatcher throughEntry)
      throws IOException, InterruptedException {
    direct.setDispatcher(directly);
    through.setDispatcher(throughEntry);
    direct.start();
    through.start();
    ComparePlan plan =
        ComparePlan.of(
            Workload.named("qadri"),
            "127.0.0.1:" + direct.getPort(),
            "127.0.0.1:" + through.getPort(),
            CALLERS,
            2,
            CALLERS,
            3);
    return new CompareRun(plan, System::nanoTime).run();
  }

  /** Answers like an engine, after a delay and with a suffix appended to the text. */
  private static final class EngineDispatcher extends Dispatcher {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final int delayMillis;
    private final String suffix;

    EngineDispatcher(int delayMillis, String suffix) {
      this.delayMillis = delayMillis;
      this.suffix = suffix;
    }

    @Override
    public MockResponse dispatch(RecordedRequest request) {
      try {
        JsonNode body = JSON.readTree(request.getBody().toByteArray());
        String prompt = body.at("/messages/0/content").asText();
        String text = ExpectedAnswer.of(prompt, body.path("max_tokens").asInt()) + suffix;
        String field = body.path("stream").asBoolean() ? "delta" : "message";
        String choice = "{\"choices\":[{\"%s\":{\"content\":\"%s\"}}]}".formatted(field, text);
        String answer =
            body.path("stream").asBoolean() ? "data: " + choice + "\n\ndata: [DONE]\n\n" : choice;
        return new MockResponse.Builder()
            .headersDelay(delayMillis, TimeUnit.MILLISECONDS)
            .body(answer)
            .build();
      } catch (IOException e) {
        return new MockResponse.Builder().code(400).build();
      }
    }
  }
}
