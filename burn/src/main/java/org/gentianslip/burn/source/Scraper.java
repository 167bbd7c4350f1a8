package org.gentianslip.burn.source;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.gentianslip.burn.metric.Accumulator;
import org.gentianslip.burn.metric.MetricText;

/** Reads the metrics of instances. Safe for use by several threads. */
public final class Scraper {

  private final HttpReader reader;

  /** Makes a scraper. */
  public Scraper(HttpReader reader) {
    this.reader = reader;
  }

  /** Adds the metrics of all instances and returns the instances that cannot be read. */
  public List<String> scrape(List<Target> targets, Accumulator accumulator) {
    List<String> unreachable = new ArrayList<>();
    for (Target target : targets) {
      try {
        byte[] text = reader.get(target.operatorAddress(), "/metrics");
        accumulator.add(
            target.instance(),
            target.region(),
            MetricText.parse(new String(text, StandardCharsets.UTF_8)));
      } catch (IOException | IllegalArgumentException e) {
        unreachable.add(target.instance());
      }
    }
    return unreachable;
  }
}
