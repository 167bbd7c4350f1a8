package org.gentianslip.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.InstanceId;

/**
 * The latest summary of each data centre.
 *
 * <p>A data centre counts as heard while its beat increases, whichever instance passes the summary
 * on; ages are never exchanged, so that a summary cannot look newer than it is. Thread-safe: writes
 * hold the object's lock, reads are lock-free.
 */
public final class DataCentreSummaries {

  /** How long a data centre counts as heard without a newer summary. */
  public static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(4_000);

  /** The time between two summaries of a data centre. */
  static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  private final ChangeCounter changes;
  private final Map<DataCentreId, Entry> entries = new ConcurrentHashMap<>();

  /** The last summary of the own data centre that another instance published. */
  private Optional<HeardSummary> former = Optional.empty();

  private record Entry(
      DataCentreSummary summary, long receivedNanos, long change, InstanceId source) {}

  /** Creates an empty object whose changes are numbered by the given counter. */
  public DataCentreSummaries(ChangeCounter changes) {
    this.changes = changes;
  }

  /** Records a summary that another instance sent, unless a newer one is known. */
  public synchronized void record(long nowNanos, InstanceId source, DataCentreSummary summary) {
    Entry known = entries.get(summary.dataCentre());
    if (known == null || known.summary().beat() < summary.beat()) {
      entries.put(summary.dataCentre(), new Entry(summary, nowNanos, changes.next(), source));
    }
  }

  /** Publishes a summary of the own data centre, with a beat above any that is known of it. */
  public synchronized void publish(long nowNanos, PeerRecord self, DataCentreReport report) {
    Entry known = entries.get(self.dataCentre());
    former = publishedByOther(self);
    long beat = known == null ? 1 : known.summary().beat() + 1;
    record(
        nowNanos,
        self.id(),
        new DataCentreSummary(
            self.dataCentre(), self.region(), beat, report.waits(), report.usage()));
  }

  /** Returns whether a newer summary of a data centre was received recently. */
  public boolean isHeard(long nowNanos, DataCentreId dataCentre) {
    Entry known = entries.get(dataCentre);
    return known != null && nowNanos - known.receivedNanos() < SILENCE_NANOS;
  }

  /** Returns the summaries of the data centres that are heard. */
  Collection<HeardSummary> heard(long nowNanos) {
    List<HeardSummary> heard = new ArrayList<>();
    for (Entry e : entries.values()) {
      if (nowNanos - e.receivedNanos() < SILENCE_NANOS) {
        heard.add(new HeardSummary(e.summary(), e.receivedNanos()));
      }
    }
    return heard;
  }

  /** Returns the last summaries of all data centres, heard recently or not. */
  Collection<HeardSummary> all() {
    return entries.values().stream()
        .map(e -> new HeardSummary(e.summary(), e.receivedNanos()))
        .toList();
  }

  /** Returns the last summary of the own data centre that another instance published, if any. */
  synchronized Optional<HeardSummary> publishedByOther(PeerRecord self) {
    Entry known = entries.get(self.dataCentre());
    return known == null || known.source().equals(self.id())
        ? former
        : Optional.of(new HeardSummary(known.summary(), known.receivedNanos()));
  }

  /** Returns the summaries numbered after {@code after} that did not come from {@code receiver}. */
  List<DataCentreSummary> changesAfter(long after, InstanceId receiver) {
    List<DataCentreSummary> summaries = new ArrayList<>();
    for (Entry e : entries.values()) {
      if (e.change() > after && !e.source().equals(receiver)) {
        summaries.add(e.summary());
      }
    }
    return summaries;
  }

  /** Counts all data centres as not heard until newer summaries arrive. */
  public synchronized void expireAll(long nowNanos) {
    entries.replaceAll(
        (dc, e) -> new Entry(e.summary(), nowNanos - SILENCE_NANOS, e.change(), e.source()));
  }
}
