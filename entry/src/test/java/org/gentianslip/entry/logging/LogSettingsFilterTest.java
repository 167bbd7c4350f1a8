package org.gentianslip.entry.logging;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.Revision;
import org.gentianslip.settings.EffectiveSettings;
import org.gentianslip.settings.ParseResult;
import org.gentianslip.settings.SettingsDocument;
import org.gentianslip.settings.SettingsParser;
import org.junit.jupiter.api.Test;

class LogSettingsFilterTest {

  private final Logger logger = Logger.getAnonymousLogger();
  private final List<String> lines = new ArrayList<>();
  private final AtomicLong clock = new AtomicLong();
  private final LogSettingsFilter filter;

  LogSettingsFilterTest() {
    logger.setUseParentHandlers(false);
    logger.addHandler(
        new Handler() {
          @Override
          public void publish(LogRecord line) {
            if (isLoggable(line)) {
              lines.add(line.getMessage());
            }
          }

          @Override
          public void flush() {}

          @Override
          public void close() {}
        });
    filter = LogSettingsFilter.install(logger, logger, clock::get);
  }

  private static EffectiveSettings instanceSettings(String values) {
    String document =
        "{\"regions\": [{\"id\": \"r\"}], \"branches\": [{\"id\": \"f\", \"level\": \"firm\","
            + " \"name\": \"f\", \"values\": {%s}}]}";
    byte[] bytes = document.formatted(values).getBytes(StandardCharsets.UTF_8);
    var result = SettingsParser.parse(Revision.of(1), List.of(new SettingsDocument("test", bytes)));
    return ((ParseResult.Accepted) result).settings().effectiveForInstance(RegionId.of("r"));
  }

  @Test
  void dropsLinesBelowTheLevel() {
    filter.apply(instanceSettings("\"logLevel\": \"warning\""));
    logger.info("one");
    assertThat(lines, empty());
  }

  @Test
  void printsFinerLinesAfterTheLevelIsLowered() {
    filter.apply(instanceSettings("\"logLevel\": \"fine\""));
    logger.fine("one");
    assertThat(lines, contains("one"));
  }

  @Test
  void limitsTheRateOfOneCallSite() {
    filter.apply(instanceSettings("\"logRatePerSecond\": 2"));
    for (int i = 0; i < 5; i++) {
      logger.info("line " + i);
    }
    assertThat(lines, contains("line 0", "line 1"));
  }
}
