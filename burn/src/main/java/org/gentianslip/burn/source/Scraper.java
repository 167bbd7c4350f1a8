package org.gentianslip.burn.source;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.gentianslip.burn.metric.CounterAccumulator;
import org.gentianslip.burn.metric.PrometheusTextParser;

/** Scrapes the metrics of instances. Thread-safe. */
public final class Scraper {

  private final HttpFetcher fetcher;

  /** Creates a scraper. */
  public Scraper(HttpFetcher fetcher) {
    this.fetcher = fetcher;
  }

  /**
   * Adds the metrics of all instances to the accumulator and returns the instances whose metrics
   * could not be read.
   */
  public List<String> scrape(List<ScrapeTarget> targets, CounterAccumulator accumulator) {
    List<String> unreachable = new ArrayList<>();
    for (ScrapeTarget target : targets) {
      try {
        byte[] text = fetcher.get(target.operatorAddress(), "/metrics");
        accumulator.add(
            target.instance(),
            target.region(),
            PrometheusTextParser.parse(new String(text, StandardCharsets.UTF_8)));
      } catch (IOException | IllegalArgumentException e) {
        unreachable.add(target.instance());
      }
    }
    return unreachable;
  }
}
