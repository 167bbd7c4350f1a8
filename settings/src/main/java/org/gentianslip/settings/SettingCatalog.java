package org.gentianslip.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.gentianslip.core.id.Rank;
import org.gentianslip.core.id.RegionId;

/**
 * The catalog of all settings, used for validation, documentation and command line help.
 *
 * <p>Names are unique, and the index of a setting is its position in {@link #all()}. Immutable and
 * safe for use by several threads.
 */
public final class SettingCatalog {

  private static final long HOUR_MILLIS = 3_600_000;
  private static final int MEBIBYTE = 1 << 20;
  private static final List<Setting<?>> DECLARED = new ArrayList<>();

  /** The rank of a request. */
  public static final Setting<Rank> RANK =
      declare(
          "rank",
          ValueType.rank(),
          Rank.OTHER,
          "Orders the work: urgent requests go before all others.");

  /** The regions that may see the payload; the empty default stands for all regions. */
  public static final Setting<Set<RegionId>> ALLOWED_REGIONS =
      declare(
          "allowedRegions",
          ValueType.regions(),
          Set.of(),
          "Names the regions that may see the payload of a request; unset means all regions. A"
              + " branch can only narrow what the branches before it allow.");

  /** The time limit of a whole request. */
  public static final Setting<Duration> DEADLINE =
      declare(
          "deadlineMillis",
          ValueType.millis(1, HOUR_MILLIS),
          Duration.ofMillis(30_000),
          "Bounds the whole request, from its arrival to the end of its answer.");

  /** The target for the time to the first token. */
  public static final Setting<Duration> FIRST_TOKEN_TARGET =
      declare(
          "firstTokenTargetMillis",
          ValueType.millis(1, HOUR_MILLIS),
          Duration.ofMillis(620),
          "Sets the time to the first token that counts as in time.");

  /** The target for the time between two tokens of a stream. */
  public static final Setting<Duration> TOKEN_GAP_TARGET =
      declare(
          "tokenGapTargetMillis",
          ValueType.millis(1, 60_000),
          Duration.ofMillis(54),
          "Sets the time between two tokens that counts as in time.");

  /** The longest time that a request may wait for capacity. */
  public static final Setting<Duration> QUEUE_TIMEOUT =
      declare(
          "queueTimeoutMillis",
          ValueType.millis(0, HOUR_MILLIS),
          Duration.ofMillis(5_000),
          "Bounds the wait for capacity; a request that waits longer is refused and has not run.");

  /** The maximum size of a request body, in bytes. */
  public static final Setting<Integer> MAX_BODY_BYTES =
      declare(
          "maxBodyBytes",
          ValueType.wholeNumber("bytes", 1, 64 * MEBIBYTE),
          MEBIBYTE,
          "Bounds the body of a request.");

  /** The longest silence of a stream before its connection is treated as lost. */
  public static final Setting<Duration> STREAM_SILENCE =
      declare(
          "streamSilenceMillis",
          ValueType.millis(100, 600_000),
          Duration.ofMillis(5_000),
          "Bounds the silence between two parts of an answer; a longer one ends the connection.");

  /** The time limit for opening a connection to a backend server. */
  public static final Setting<Duration> CONNECT_TIMEOUT =
      declare(
          "connectTimeoutMillis",
          ValueType.millis(1, 60_000),
          Duration.ofMillis(1_000),
          "Bounds the opening of a connection to a backend server or another instance.");

  /** The maximum number of retries, as a share of the requests. */
  public static final Setting<Double> RETRY_BUDGET_SHARE =
      declare(
          SettingGranularity.INSTANCE,
          "retryBudgetShare",
          ValueType.share(),
          0.1,
          "Bounds the retries, as a share of the requests.");

  /** Whether requests may spill to another region if their own has no free capacity. */
  public static final Setting<Boolean> SPILL_ENABLED =
      declare(
          "spillEnabled",
          ValueType.flag(),
          true,
          "Lets requests go to another allowed region if the own one has no free capacity.");

  /** The cost of spilling a request to another region, expressed as waiting time. */
  public static final Setting<Duration> SPILL_CHARGE =
      declare(
          "spillChargeMillis",
          ValueType.millis(0, HOUR_MILLIS),
          Duration.ofMillis(200),
          "Sets how much longer a request waits at home rather than go to another region.");

  /** The share of a link's capacity that requests to another region may use. */
  public static final Setting<Double> LINK_BUDGET_SHARE =
      declare(
          SettingGranularity.INSTANCE,
          "linkBudgetShare",
          ValueType.number("share of 1", 0.01, 1),
          0.5,
          "Bounds what requests to another region may use of the link's capacity.");

  /** The share of the capacity that is reserved for the rank {@link Rank#OTHER}. */
  public static final Setting<Double> OTHER_FLOOR_SHARE =
      declare(
          SettingGranularity.INSTANCE,
          "otherFloorShare",
          ValueType.number("share of 1", 0, 0.9),
          0.1,
          "Keeps a share of the capacity for work that is not urgent, also in a flood.");

  /** The weight of a customer in weighted fair sharing within a rank. */
  public static final Setting<Double> CUSTOMER_WEIGHT =
      declare(
          SettingGranularity.CUSTOMER,
          "customerWeight",
          ValueType.number("weight", 0.01, 1_000),
          1.0,
          "Weighs the customer against others of the same rank; twice the weight, twice the"
              + " share.");

  /** The maximum number of requests of one rank and model that wait at one instance. */
  public static final Setting<Integer> MAX_QUEUE_LENGTH =
      declare(
          SettingGranularity.INSTANCE,
          "maxQueueLength",
          ValueType.wholeNumber("requests", 1, 100_000),
          200,
          "Bounds the requests of one rank and model that wait at one instance.");

  /** The number of leading prompt tokens that prefix affinity routes by. */
  public static final Setting<Integer> PREFIX_TOKENS =
      declare(
          "prefixTokens",
          ValueType.wholeNumber("tokens", 0, 1_000_000),
          256,
          "Sets how much of a prompt's start decides which engine most likely holds it.");

  /** The time for which a ticket is valid. */
  public static final Setting<Duration> TICKET_LIFETIME =
      declare(
          "ticketLifetimeMillis",
          ValueType.millis(1_000, HOUR_MILLIS),
          Duration.ofMillis(120_000),
          "Bounds the use of a ticket for a call that is not idempotent.");

  /** The longest time that a graceful shutdown waits for requests in flight. */
  public static final Setting<Duration> DRAIN_TIMEOUT =
      declare(
          SettingGranularity.INSTANCE,
          "drainTimeoutMillis",
          ValueType.millis(0, HOUR_MILLIS),
          Duration.ofMillis(600_000),
          "Bounds the wait of a graceful shutdown for the requests in flight; at least as long as"
              + " the longest deadline.");

  /** The name of the routing policy. */
  public static final Setting<String> POLICY =
      declare(
          "policy",
          ValueType.oneOf("prefix-affinity", "least-loaded", "round-robin"),
          "prefix-affinity",
          "Chooses how an engine is found for a model request.");

  /** The objective for the share of requests that are answered completely. */
  public static final Setting<Double> OBJECTIVE_AVAILABILITY_SHARE =
      declare(
          "objectiveAvailabilityShare",
          ValueType.share(),
          0.999,
          "Sets the objective for the share of requests that are answered completely.");

  /** The objective for the share of requests that meet the first token target. */
  public static final Setting<Double> OBJECTIVE_FIRST_TOKEN_SHARE =
      declare(
          "objectiveFirstTokenShare",
          ValueType.share(),
          0.95,
          "Sets the objective for the share of requests whose first token is in time.");

  /** The least severe level that is logged. */
  public static final Setting<String> LOG_LEVEL =
      declare(
          SettingGranularity.INSTANCE,
          "logLevel",
          ValueType.oneOf("severe", "warning", "info", "fine", "finest"),
          "info",
          "Sets the least severe level that is logged.");

  /** The maximum number of log lines per second of one log statement. */
  public static final Setting<Integer> LOG_RATE_PER_SECOND =
      declare(
          SettingGranularity.INSTANCE,
          "logRatePerSecond",
          ValueType.wholeNumber("lines per second", 1, 10_000),
          10,
          "Bounds the log lines of each place in the code.");

  /** The time for which a caller may use a list of entry instances. */
  public static final Setting<Duration> ENTRIES_LIFETIME =
      declare(
          "entriesLifetimeMillis",
          ValueType.millis(100, HOUR_MILLIS),
          Duration.ofMillis(5_000),
          "Tells callers how long they may use a list of entry instances.");

  /** The price of 1000 tokens. */
  public static final Setting<Double> COST_PER_THOUSAND_TOKENS =
      declare(
          "costPerThousandTokens",
          ValueType.number("currency units per 1000 tokens", 0, 1_000_000),
          0.0,
          "Prices the tokens of a request for the report on cost.");

  /** The models that every engine of the region is ordered to load. */
  public static final Setting<Set<String>> ENGINE_MODELS =
      declare(
          SettingGranularity.INSTANCE,
          "engineModels",
          ValueType.names(),
          Set.of(),
          "Names the models that every engine of the region is ordered to load.");

  /** The adapters that every engine of the region is ordered to load. */
  public static final Setting<Set<String>> ENGINE_ADAPTERS =
      declare(
          SettingGranularity.INSTANCE,
          "engineAdapters",
          ValueType.names(),
          Set.of(),
          "Names the adapters that every engine of the region is ordered to load.");

  /** The version of the weights that the region's engines are ordered to use; empty for any. */
  public static final Setting<String> ENGINE_VERSION =
      declare(
          SettingGranularity.INSTANCE,
          "engineVersion",
          ValueType.name(),
          "",
          "Sets the version of the weights that every engine of the region is ordered to take.");

  /** The role that the region's engines are ordered to take; empty for any. */
  public static final Setting<String> ENGINE_ROLE =
      declare(
          SettingGranularity.INSTANCE,
          "engineRole",
          ValueType.name(),
          "",
          "Sets the role that every engine of the region is ordered to take.");

  /** The maximum rate of loads from the weight store over all regions, in loads per minute. */
  public static final Setting<Double> WEIGHT_STORE_LOADS_PER_MINUTE =
      declare(
          SettingGranularity.INSTANCE,
          "weightStoreLoadsPerMinute",
          ValueType.number("loads per minute", 0.01, 100_000),
          6.0,
          "Bounds the loads that the instances of all regions together order.");

  private static final List<Setting<?>> ALL = List.copyOf(DECLARED);
  private static final Map<String, Setting<?>> BY_NAME =
      ALL.stream().collect(Collectors.toUnmodifiableMap(Setting::name, Function.identity()));

  private SettingCatalog() {}

  /** Returns all settings, in the order of their indices. */
  public static List<Setting<?>> all() {
    return ALL;
  }

  /** Returns the setting with the given name. */
  public static Optional<Setting<?>> find(String name) {
    return Optional.ofNullable(BY_NAME.get(name));
  }

  private static <T> Setting<T> declare(
      String name, ValueType<T> type, T defaultValue, String description) {
    return declare(SettingGranularity.REQUEST, name, type, defaultValue, description);
  }

  private static <T> Setting<T> declare(
      SettingGranularity granularity,
      String name,
      ValueType<T> type,
      T defaultValue,
      String description) {
    var setting =
        DeclaredSetting.of(name, DECLARED.size(), type, granularity, defaultValue, description);
    DECLARED.add(setting);
    return setting;
  }
}
