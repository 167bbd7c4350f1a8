package org.gentianslip.entry.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.load.PromptHolder;
import org.gentianslip.core.load.PromptPart;
import org.gentianslip.core.membership.PeerRecord;

/**
 * The JSON form of a hello, which reports the state of one instance to another.
 *
 * @param self the record of the sender
 * @param revision the published revision known to the sender
 * @param version the version of the configuration in force at the sender
 * @param others the records of the live instances known to the sender
 * @param loads the load that the sender puts on the backend servers of its region, by id; empty in
 *     hellos to other regions. Each array holds the number of running requests, the time to read
 *     the pending urgent prompts, and the time to read the pending other prompts, both times in
 *     milliseconds
 * @param prompts the engines that have recently read shared parts of prompts
 */
record FleetHello(
    Instance self,
    long revision,
    long version,
    List<Instance> others,
    Map<String, double[]> loads,
    List<Prompt> prompts) {

  FleetHello {
    prompts = prompts == null ? List.of() : List.copyOf(prompts);
    others = others == null ? List.of() : List.copyOf(others);
    loads = loads == null ? Map.of() : Map.copyOf(loads);
  }

  /**
   * The JSON form of a {@link PromptHolder}, with an age because the clocks of instances differ.
   *
   * @param part the id of the part of a prompt
   * @param tokens the length of the part, in tokens
   * @param engine the id of the engine that has read it
   * @param age the time since then, in milliseconds
   */
  record Prompt(String part, long tokens, String engine, long age) {

    static Prompt of(long nowNanos, PromptHolder holder) {
      return new Prompt(
          holder.part().id(),
          holder.part().tokens(),
          holder.engine().value(),
          TimeUnit.NANOSECONDS.toMillis(nowNanos - holder.prefilledNanos()));
    }

    PromptHolder toHolder(long nowNanos) {
      return new PromptHolder(
          new PromptPart(part, tokens),
          EngineId.of(engine),
          nowNanos - TimeUnit.MILLISECONDS.toNanos(Math.max(0, age)));
    }
  }

  /**
   * The JSON form of a {@link PeerRecord}, with short names because it is sent often.
   *
   * @param id the id of the instance
   * @param life the start time of its process, in Unix milliseconds
   * @param beat a number that increases with each record
   * @param region the id of its region
   * @param dc the id of its data centre
   * @param callers the address for callers
   * @param control the address for hellos
   * @param forward the address for forwarded requests
   * @param ready whether it serves requests
   * @param leaving whether it is shutting down
   * @param waits the expected wait for each service, in milliseconds
   */
  record Instance(
      String id,
      long life,
      long beat,
      String region,
      String dc,
      String callers,
      String control,
      String forward,
      boolean ready,
      boolean leaving,
      Map<String, Integer> waits) {

    static Instance of(PeerRecord peer) {
      Map<String, Integer> waits = new HashMap<>();
      peer.waitMillis().forEach((s, w) -> waits.put(s.value(), (int) Math.round(w)));
      return new Instance(
          peer.id().value(),
          peer.startedMillis(),
          peer.beat(),
          peer.region().value(),
          peer.dataCentre().value(),
          peer.callerAddress(),
          peer.controlAddress(),
          peer.forwardAddress(),
          peer.ready(),
          peer.leaving(),
          waits);
    }

    PeerRecord toRecord() {
      Map<ServiceId, Double> byService = new HashMap<>();
      if (waits != null) {
        waits.forEach((s, w) -> byService.put(ServiceId.of(s), w.doubleValue()));
      }
      return new PeerRecord(
          InstanceId.of(id),
          life,
          beat,
          RegionId.of(region),
          DataCentreId.of(dc),
          callers,
          control,
          forward,
          ready,
          leaving,
          byService);
    }
  }
}
