package org.gentianslip.burn.metric;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests {@link MetricText}. Used by one thread. */
class MetricTextTest {

  @Test
  void readsLabels() {
    MetricLine line = MetricText.parse("a_total{rank=\"urgent\",code=\"x\"} 3.0").get(0);

    assertThat(line.labels(), equalTo(Map.of("rank", "urgent", "code", "x")));
  }

  @Test
  void readsValueWithoutLabels() {
    assertThat(MetricText.parse("a_total 12 1700000000000").get(0).value(), is(12.0));
  }

  @Test
  void readsEscapedLabelValues() {
    MetricLine line = MetricText.parse("a{b=\"x\\\"},\\\\y\"} 1").get(0);

    assertThat(line.labels().get("b"), equalTo("x\"},\\y"));
  }

  @Test
  void passesOverCommentsAndEmptyLines() {
    assertThat(MetricText.parse("# HELP a b\n\na 1\n# EOF\n"), hasSize(1));
  }

  @Test
  void quotesMalformedLine() {
    IllegalArgumentException e =
        Assertions.assertThrows(
            IllegalArgumentException.class, () -> MetricText.parse("a{b=\"x} 1"));

    assertThat(e.getMessage(), containsString("a{b="));
  }
}
