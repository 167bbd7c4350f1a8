package org.gentianslip.burn.metric;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests {@link PrometheusTextParser}. */
class PrometheusTextParserTest {

  @Test
  void parsesLabels() {
    MetricSample sample =
        PrometheusTextParser.parse("a_total{rank=\"urgent\",code=\"x\"} 3.0").get(0);

    assertThat(sample.labels(), equalTo(Map.of("rank", "urgent", "code", "x")));
  }

  @Test
  void parsesValueWithoutLabels() {
    assertThat(PrometheusTextParser.parse("a_total 12 1700000000000").get(0).value(), is(12.0));
  }

  @Test
  void parsesEscapedLabelValues() {
    MetricSample sample = PrometheusTextParser.parse("a{b=\"x\\\"},\\\\y\"} 1").get(0);

    assertThat(sample.labels().get("b"), equalTo("x\"},\\y"));
  }

  @Test
  void skipsCommentsAndEmptyLines() {
    assertThat(PrometheusTextParser.parse("# HELP a b\n\na 1\n# EOF\n"), hasSize(1));
  }

  @Test
  void quotesTheMalformedLine() {
    IllegalArgumentException e =
        Assertions.assertThrows(
            IllegalArgumentException.class, () -> PrometheusTextParser.parse("a{b=\"x} 1"));

    assertThat(e.getMessage(), containsString("a{b="));
  }
}
