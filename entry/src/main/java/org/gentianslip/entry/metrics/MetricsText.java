package org.gentianslip.entry.metrics;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Writes metrics in the Prometheus text format. Stateless and safe for use by several threads. */
public final class MetricsText {

  private MetricsText() {}

  /** Returns all metrics of a registry. */
  public static byte[] of(PrometheusRegistry registry) {
    var out = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(out, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toByteArray();
  }
}
