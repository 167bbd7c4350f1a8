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
 * Tells another instance what an instance knows; the JSON form of an exchange.
 *
 * @param self what the sender tells of itself
 * @param revision the revision of what is published, as far as the sender knows
 * @param version the version of the configuration in force at the sender
 * @param others the live instances that the sender has heard of
 * @param loads the sender's load on the backend servers of its region, told inside it only: the
 *     requests, and the urgent and other reading in milliseconds
 * @param prompts the engines that have read shared parts of prompts lately
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
   * The JSON form of a {@link PromptHolder}; an age stands for a time, since clocks differ.
   *
   * @param part the part of a prompt
   * @param tokens its length, in tokens
   * @param engine the engine that has read it
   * @param age how long ago, in milliseconds
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
   * The JSON form of a {@link PeerRecord}; names are short since it is told often.
   *
   * @param id the instance
   * @param life when its process started, in Unix milliseconds
   * @param beat a number that grows
   * @param region its region
   * @param dc its data centre
   * @param callers where it serves callers
   * @param control where it hears its peers
   * @param forward where it takes forwarded requests
   * @param ready whether it serves
   * @param leaving whether it is shutting down
   * @param waits the wait for each service, in milliseconds
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
