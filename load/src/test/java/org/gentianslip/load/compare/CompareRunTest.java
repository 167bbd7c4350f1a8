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

/** Tests {@link CompareRun} against scripted servers. Used by one thread. */
class CompareRunTest {

  private static final int ENTRY_MILLIS = 40;
  private static final int CALLERS = 2;

  private final MockWebServer direct = new MockWebServer();
  private final MockWebServer through = new MockWebServer();

  @AfterEach
  void stop() {
    direct.close();
    through.close();
  }

  @Test
  void findsWhatTheEntryAdds() throws IOException, InterruptedException {
    CompareReport report = run(new Answers(0, ""), new Answers(ENTRY_MILLIS, ""));

    assertThat(report.firstRatio(), greaterThan(1.0));
  }

  @Test
  void findsThatTheEntryPassesFewerCalls() throws IOException, InterruptedException {
    CompareReport report = run(new Answers(0, ""), new Answers(ENTRY_MILLIS, ""));

    assertThat(report.directPerSecond(), greaterThan(report.throughPerSecond()));
  }

  @Test
  void countsNoFailureIfAllAnswersAreWhole() throws IOException, InterruptedException {
    assertThat(run(new Answers(0, ""), new Answers(0, "")).failures(), is(0L));
  }

  @Test
  void countsWrongAnswersAsFailures() throws IOException, InterruptedException {
    assertThat(run(new Answers(0, ""), new Answers(1, "x")).failures(), greaterThan(0L));
  }

  private CompareReport run(Answers directly, Answers throughEntry)
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

  /** Answers as an engine would, after a delay and with a text added. Stateless. */
  private static final class Answers extends Dispatcher {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final int delayMillis;
    private final String added;

    Answers(int delayMillis, String added) {
      this.delayMillis = delayMillis;
      this.added = added;
    }

    @Override
    public MockResponse dispatch(RecordedRequest request) {
      try {
        JsonNode body = JSON.readTree(request.getBody().toByteArray());
        String prompt = body.at("/messages/0/content").asText();
        String text = ExpectedAnswer.of(prompt, body.path("max_tokens").asInt()) + added;
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
