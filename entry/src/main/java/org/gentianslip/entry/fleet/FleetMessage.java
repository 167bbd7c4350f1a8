package org.gentianslip.entry.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.IntNode;
import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.fleet.DataCentreSummary;
import org.gentianslip.core.fleet.LoadScope;
import org.gentianslip.core.fleet.PeerRecord;
import org.gentianslip.core.fleet.PeerStatement;
import org.gentianslip.core.fleet.ServiceWait;
import org.gentianslip.core.fleet.SyncAck;
import org.gentianslip.core.fleet.SyncMessage;
import org.gentianslip.core.fleet.WireVersion;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.limit.StatedLimit;
import org.gentianslip.core.load.PromptHolder;
import org.gentianslip.core.load.PromptPart;
import org.gentianslip.core.published.Confirmation;
import org.gentianslip.core.published.Revision;
import org.gentianslip.core.quarantine.CompletionReport;
import org.gentianslip.core.quarantine.CrashReport;
import org.gentianslip.entry.http.Json;

/**
 * The JSON form of a message from one instance to another. Values that are sent often are arrays.
 *
 * @param self the record of the sender
 * @param number the number up to which the sender's changes are complete
 * @param ack what the sender has received from the receiver
 * @param peers the changes of other instances
 * @param centres the changes of data centres
 * @param revision the number of the published revision known to the sender
 * @param era the era of that revision
 * @param version the version of the configuration in force at the sender
 * @param scope whose loads are reported
 * @param loads the loads of backend servers by id, without those that are zero. Each array holds
 *     the number of running requests, the time to prefill the pending urgent prompts, and the time
 *     to prefill the pending other prompts, both times in milliseconds
 * @param prompts the engines that have recently prefilled shared parts of prompts
 * @param promptNumber the number up to which these are complete
 * @param promptAck what the sender has received of the receiver's prompts
 * @param crashes the crashes of engines that the receiver does not know
 * @param completions the completed answers with parts of prompts that were involved in crashes
 * @param evidenceNumber the number up to which these two are complete
 * @param evidenceAck what the sender has received of the receiver's evidence
 * @param limits what backend servers of the region have said about the requests that they take, by
 *     id
 * @param usage the tokens that customers used and requested, of the sender or of the others in its
 *     data centre; null in messages of earlier versions, and if the scope asks for none
 * @param confirmedAge the time since {@code version} was known to be the newest one, in
 *     milliseconds; null if it is unknown, and in messages of earlier processes
 * @param origins where streams began; null if there is nothing to tell, and in messages of earlier
 *     versions
 * @param refusalLimits what backend servers of the region have said about the refusals that they
 *     bear, by id
 * @param failures the last failed connections to backend servers of the region that may have
 *     started again, by id; null in messages of earlier versions
 */
record FleetMessage(
    Instance self,
    long number,
    Ack ack,
    List<Statement> peers,
    List<Summary> centres,
    long revision,
    long era,
    long version,
    LoadScope scope,
    Map<String, int[]> loads,
    List<Prompt> prompts,
    long promptNumber,
    Ack promptAck,
    List<Crash> crashes,
    List<Completion> completions,
    long evidenceNumber,
    Ack evidenceAck,
    Map<String, Limit> limits,
    Map<String, JsonNode> usage,
    JsonNode confirmedAge,
    @JsonInclude(JsonInclude.Include.NON_NULL) OriginReport origins,
    @JsonInclude(JsonInclude.Include.NON_EMPTY) Map<String, Limit> refusalLimits,
    @JsonInclude(JsonInclude.Include.NON_EMPTY) Map<String, Failure> failures) {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  FleetMessage {
    peers = peers == null ? List.of() : List.copyOf(peers);
    centres = centres == null ? List.of() : List.copyOf(centres);
    scope = scope == null ? LoadScope.NONE : scope;
    loads = loads == null ? Map.of() : Map.copyOf(loads);
    prompts = prompts == null ? List.of() : List.copyOf(prompts);
    crashes = crashes == null ? List.of() : List.copyOf(crashes);
    completions = completions == null ? List.of() : List.copyOf(completions);
    limits = limits == null ? Map.of() : Map.copyOf(limits);
    refusalLimits = refusalLimits == null ? Map.of() : Map.copyOf(refusalLimits);
    failures = failures == null ? Map.of() : Map.copyOf(failures);
    evidenceAck = evidenceAck == null ? Ack.of(SyncAck.NONE) : evidenceAck;
  }

  /** Returns the published revision known to the sender. */
  Revision publishedRevision() {
    return Revision.of(era, revision);
  }

  /** Returns the stated age of the confirmation in milliseconds, if it is readable. */
  OptionalLong confirmedAgeMillis() {
    if (confirmedAge == null || confirmedAge.isNull()) {
      return OptionalLong.empty();
    }
    boolean valid =
        confirmedAge.isIntegralNumber()
            && confirmedAge.canConvertToLong()
            && Confirmation.isValidAge(confirmedAge.longValue());
    if (!valid) {
      LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
          "fleet: event=bad-age instance=%s use=unknown", self.id());
    }
    return valid ? OptionalLong.of(confirmedAge.longValue()) : OptionalLong.empty();
  }

  /** Returns the part of this message that concerns the fleet. */
  SyncMessage toSync() {
    return new SyncMessage(
        self.toRecord(),
        number,
        ack.toAck(),
        peers.stream().map(Statement::toStatement).toList(),
        centres.stream().map(Summary::toSummary).toList());
  }

  /** The JSON form of a {@link SyncAck}. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Ack(long incarnation, long number) {

    static Ack of(SyncAck ack) {
      return new Ack(ack.incarnation(), ack.number());
    }

    SyncAck toAck() {
      return new SyncAck(incarnation, number);
    }
  }

  /**
   * The JSON form of a {@link PeerRecord}.
   *
   * @param size null in messages of earlier versions, which have no other capacity
   * @param unreached null in messages of earlier versions, which do not tell it
   * @param wire null in messages of earlier versions, which state none
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Instance(
      String id,
      long incarnation,
      long beat,
      String region,
      String dataCentre,
      String callers,
      String control,
      String forward,
      int capacity,
      boolean ready,
      boolean leaving,
      Integer size,
      JsonNode unreached,
      JsonNode wire) {

    static Instance of(PeerRecord peer) {
      return new Instance(
          peer.id().value(),
          peer.incarnation(),
          peer.beat(),
          peer.region().value(),
          peer.dataCentre().value(),
          peer.callerAddress(),
          peer.controlAddress(),
          peer.forwardAddress(),
          peer.capacity(),
          peer.ready(),
          peer.leaving(),
          peer.size(),
          Json.tree(peer.unreached().stream().map(ServiceId::value).sorted().toList()),
          IntNode.valueOf(peer.wire().number()));
    }

    PeerRecord toRecord() {
      return new PeerRecord(
          InstanceId.of(id),
          incarnation,
          beat,
          RegionId.of(region),
          DataCentreId.of(dataCentre),
          callers,
          control,
          forward,
          capacity,
          ready,
          leaving,
          size == null ? capacity : size,
          unreachedServices(),
          wireVersion());
    }

    private WireVersion wireVersion() {
      if (wire == null || wire.isNull()) {
        return WireVersion.UNSTATED;
      }
      if (wire.isIntegralNumber() && wire.canConvertToInt() && wire.intValue() > 0) {
        return new WireVersion(wire.intValue());
      }
      LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
          "fleet: event=bad-wire instance=%s use=%s", id, WireVersion.UNSTATED);
      return WireVersion.UNSTATED;
    }

    /** Returns the stated services; what can't be one is left out, as if nothing were stated. */
    private Set<ServiceId> unreachedServices() {
      Set<ServiceId> services = new HashSet<>();
      if (unreached != null && unreached.isArray()) {
        for (JsonNode name : unreached) {
          try {
            services.add(ServiceId.of(name.asText()));
          } catch (IllegalArgumentException e) {
            LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
                "fleet: event=bad-reach instance=%s cause=%s", id, e.getMessage());
          }
        }
      }
      return services;
    }
  }

  /** The JSON form of a {@link PeerStatement}. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Statement(Instance peer, boolean silent, long silentMillis) {

    static Statement of(PeerStatement statement) {
      return new Statement(
          Instance.of(statement.peer()), statement.silent(), statement.silentMillis());
    }

    PeerStatement toStatement() {
      return new PeerStatement(peer.toRecord(), silent, silentMillis);
    }
  }

  /**
   * The JSON form of a {@link DataCentreSummary}.
   *
   * @param waits the waits by service, in milliseconds
   * @param failures the costs of failures by service, in milliseconds; null in messages of earlier
   *     versions
   * @param usage the use of quotas by customer; null in messages of earlier versions
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Summary(
      String dataCentre,
      String region,
      long beat,
      Map<String, JsonNode> waits,
      Map<String, JsonNode> failures,
      Map<String, JsonNode> usage) {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The longest part of a bad value in a log line, in characters. */
    private static final int MAX_LOGGED_CHARS = 40;

    /** The data centres of which a bad value is logged, at most. */
    private static final int MAX_REPORTED = 64;

    /** The data centres of which a bad value was logged. */
    private static final Set<String> REPORTED = ConcurrentHashMap.newKeySet();

    static Summary of(DataCentreSummary summary) {
      Map<String, JsonNode> waits = new HashMap<>();
      Map<String, JsonNode> failures = new HashMap<>();
      summary
          .waits()
          .forEach(
              (service, wait) -> {
                waits.put(service.value(), rounded(wait.waitMillis()));
                failures.put(service.value(), rounded(wait.failureMillis()));
              });
      return new Summary(
          summary.dataCentre().value(),
          summary.region().value(),
          summary.beat(),
          waits,
          failures,
          UsageFields.of(summary.usage()));
    }

    DataCentreSummary toSummary() {
      Map<ServiceId, ServiceWait> byService = new HashMap<>();
      Map<String, JsonNode> costs = failures == null ? Map.of() : failures;
      waits.forEach(
          (service, wait) ->
              byService.put(
                  ServiceId.of(service),
                  new ServiceWait(
                      believed(service, wait),
                      costs.containsKey(service) ? believed(service, costs.get(service)) : 0)));
      return new DataCentreSummary(
          DataCentreId.of(dataCentre),
          RegionId.of(region),
          beat,
          byService,
          usage == null ? Map.of() : UsageFields.read(usage));
    }

    private static JsonNode rounded(double millis) {
      return IntNode.valueOf((int) Math.round(millis));
    }

    /** Returns a stated time, or 0 as if nothing were known if no time can be as stated. */
    private double believed(String service, JsonNode stated) {
      if (stated.isNumber() && ServiceWait.isValid(stated.doubleValue())) {
        return stated.doubleValue();
      }
      if (REPORTED.size() < MAX_REPORTED && REPORTED.add(dataCentre)) {
        String text = stated.toString();
        LOGGER.atWarning().log(
            "fleet: event=bad-wait data-centre=%s service=%s stated=%s use=unknown",
            dataCentre, service, text.substring(0, Math.min(MAX_LOGGED_CHARS, text.length())));
      }
      return 0;
    }
  }

  /**
   * The JSON form of a {@link PromptHolder}, with an age because the clocks of instances differ.
   *
   * @param part the id of the part of a prompt
   * @param tokens the length of the part, in tokens
   * @param engine the id of the engine that has prefilled it
   * @param age the time since then, in milliseconds
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
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
   * The JSON form of a {@link StatedLimit}, with an age because the clocks of instances differ.
   *
   * @param perSecond the requests or refusals per second, or a negative number if there is no limit
   * @param age the time since the backend server said so, in milliseconds
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Limit(double perSecond, long age) {

    static Limit of(long nowNanos, StatedLimit limit) {
      return new Limit(
          limit.perSecond(), TimeUnit.NANOSECONDS.toMillis(nowNanos - limit.heardNanos()));
    }

    StatedLimit toLimit(long nowNanos) {
      return new StatedLimit(perSecond, nowNanos - TimeUnit.MILLISECONDS.toNanos(age));
    }
  }

  /**
   * A failed connection to a backend server, with an age because the clocks of instances differ.
   *
   * @param age the time since the connection was begun, in milliseconds
   * @param started when the start of the backend server began that the sender knows, in Unix
   *     milliseconds, or 0 if unknown
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Failure(long age, long started) {}

  /**
   * The JSON form of a {@link CrashReport}, with ages because the clocks of instances differ.
   *
   * @param request the id of the request
   * @param engine the id of the engine
   * @param parts the ids of the parts of the prompt but the last
   * @param prompt the id of the last part
   * @param waited the time from sending the request to the crash, in milliseconds
   * @param age the time since the crash, in milliseconds
   * @param fingerprint the fingerprint of the request; null in messages of earlier versions
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Crash(
      String request,
      String engine,
      List<String> parts,
      String prompt,
      long waited,
      long age,
      String fingerprint) {

    static Crash of(long nowNanos, CrashReport crash) {
      return new Crash(
          crash.request(),
          crash.engine().value(),
          crash.parts(),
          crash.prompt(),
          TimeUnit.NANOSECONDS.toMillis(crash.crashedNanos() - crash.sentNanos()),
          TimeUnit.NANOSECONDS.toMillis(nowNanos - crash.crashedNanos()),
          crash.fingerprint());
    }

    CrashReport toReport(long nowNanos) {
      long crashedNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(Math.max(0, age));
      long sentNanos = crashedNanos - TimeUnit.MILLISECONDS.toNanos(Math.max(0, waited));
      return new CrashReport(
          request,
          EngineId.of(engine),
          parts,
          prompt,
          fingerprint == null ? "" : fingerprint,
          sentNanos,
          crashedNanos);
    }
  }

  /**
   * The JSON form of a {@link CompletionReport}.
   *
   * @param part the id of the part
   * @param age the time since the request was sent, in milliseconds
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Completion(String part, long age) {

    /** The longest time that a message is assumed to take; a later crash must not be refuted. */
    private static final long TRANSIT_MILLIS = 250;

    static Completion of(long nowNanos, CompletionReport completion) {
      return new Completion(
          completion.part(), TimeUnit.NANOSECONDS.toMillis(nowNanos - completion.sentNanos()));
    }

    CompletionReport toReport(long nowNanos) {
      long ageMillis = Math.max(0, age) + TRANSIT_MILLIS;
      return new CompletionReport(part, nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMillis));
    }
  }
}
