package org.gentianslip.bench.micro;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.load.BackendGroup;
import org.gentianslip.core.load.BackendLoad;
import org.gentianslip.core.load.BackendSelector;
import org.gentianslip.core.load.Candidates;
import org.gentianslip.core.load.LoadSource;
import org.gentianslip.core.load.PeerLoad;
import org.gentianslip.core.load.PromptPart;
import org.gentianslip.core.load.RequestSize;
import org.gentianslip.core.load.SendRates;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.route.EngineProfile;
import org.gentianslip.core.route.Repeatability;
import org.gentianslip.core.route.Route;
import org.gentianslip.core.route.WeightedService;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures how long choosing a backend server for a routed request takes. Not thread-safe. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class BackendChoiceBenchmark {

  private static final ServiceId SERVICE = ServiceId.of("farm");
  private static final EngineProfile ENGINE = new EngineProfile(64, 350_000, 7, 327_680, 260_000);
  private static final int PROMPTS = 64;
  private static final int INSTANCES = 250;

  /** The number of engines in the region, which 250 instances share. */
  @Param({"4", "42", "380", "1300"})
  public int engines;

  private final List<RequestSize> sizes = new ArrayList<>();
  private final SplittableRandom random = new SplittableRandom(1);
  private BackendGroup group;
  private Route route;
  private int next;

  /** Creates the engines, the reports of their load and the prompts. */
  @Setup
  public void prepare() {
    List<BackendGroup.Member> members = new ArrayList<>();
    for (int i = 0; i < engines; i++) {
      var backend =
          new Backend(
              EngineId.of("e" + i), SERVICE, "10.0.0.1:80", DataCentreId.of("z"), 64, false, 0, 0);
      var load = new BackendLoad(64, ENGINE);
      for (int k = 0; k < INSTANCES; k++) {
        load.recordPeerLoad(LoadSource.instance(InstanceId.of("i" + k)), new PeerLoad(1, 1, 1, 0));
      }
      members.add(new BackendGroup.Member(backend, load));
    }
    group = BackendGroup.of(members);
    for (int i = 0; i < PROMPTS; i++) {
      var shared = new PromptPart("shared" + i, 13_000);
      var own = new PromptPart("own" + i, 3_700);
      sizes.add(new RequestSize(List.of(shared, own), 100, 34_000));
    }
    route =
        new Route(
            "report",
            "host",
            "/",
            Repeatability.RESUMABLE,
            true,
            8_000,
            1_000,
            2,
            0,
            List.of(new WeightedService(SERVICE, 1)),
            Set.of());
  }

  /** Chooses a backend server for one request. */
  @Benchmark
  public Object choose() {
    next = (next + 1) % PROMPTS;
    RequestSize size = sizes.get(next);
    Candidates found =
        group.candidates(0, SendRates.UNRESTRICTED, id -> true, size, List.of(), random);
    return BackendSelector.select(0, route, size, 8_000, found, List.of());
  }
}
