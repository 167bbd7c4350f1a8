package org.gentianslip.entry.gateway;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.load.BackendOption;
import org.gentianslip.core.load.Candidates;
import org.gentianslip.core.load.PromptDirectory;
import org.gentianslip.core.load.PromptFetch;
import org.gentianslip.core.load.PromptHolder;
import org.gentianslip.core.load.PromptPart;
import org.gentianslip.core.load.RequestSize;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.published.PublishedState;
import org.gentianslip.core.route.EngineProfile;
import org.gentianslip.core.route.Route;
import org.gentianslip.core.route.ServiceProfile;

/**
 * Locates the engines that hold the shared part of a prompt and may serve as copy sources.
 *
 * <p>Safe for use by several threads.
 */
final class PromptLocator {

  private final Supplier<GatewayConfig> config;
  private final PromptDirectory directory = new PromptDirectory();

  PromptLocator(Supplier<GatewayConfig> config) {
    this.config = config;
  }

  /** Returns the directory of the shared parts of prompts that engines have read. */
  PromptDirectory directory() {
    return directory;
  }

  /** Removes the engines that are no longer published or have started again. */
  void applyPublished(PublishedState before, PublishedState after) {
    for (Backend b : before.backends().values()) {
      Backend next = after.backends().get(b.id());
      if (next == null || !next.isSameStart(b)) {
        directory.forget(b.id());
      }
    }
  }

  /** Records that an engine has read a prompt. */
  void recordRead(long nowNanos, InstanceId self, EngineId engine, RequestSize size) {
    size.sharedPart().ifPresent(p -> directory.record(self, new PromptHolder(p, engine, nowNanos)));
  }

  /** Adds to each candidate the engine that it may copy the shared part of a prompt from. */
  Candidates withFetchSources(
      PublishedState state,
      ServiceId service,
      RequestSize size,
      List<Backend> holders,
      Candidates candidates) {
    Optional<EngineProfile> engine =
        BackendRegistry.profile(state, service)
            .flatMap(ServiceProfile::engine)
            .filter(e -> e.linkMegabits() > 0);
    if (engine.isEmpty() || holders.isEmpty() || size.sharedTokens() < PromptDirectory.MIN_TOKENS) {
      return candidates;
    }
    double millisPerToken = engine.get().copyMillisPerToken();
    return new Candidates(
        candidates.options().stream()
            .map(o -> withFetchSource(o, holders, millisPerToken))
            .toList(),
        candidates.preferred(),
        candidates.ownDataCentre(),
        candidates.pauseNanos());
  }

  private static BackendOption withFetchSource(
      BackendOption option, List<Backend> holders, double millisPerToken) {
    Backend target = option.backend();
    Optional<PromptFetch> fetch =
        holders.stream()
            .filter(h -> !h.id().equals(target.id()))
            .filter(h -> h.dataCentre().equals(target.dataCentre()))
            .filter(h -> h.service().equals(target.service()))
            .findFirst()
            .map(h -> new PromptFetch(h, millisPerToken));
    return new BackendOption(target, option.load(), fetch);
  }

  /** Returns the engines that hold the shared part of a prompt, the most recent first. */
  List<Backend> holders(long nowNanos, PublishedState state, Route route, RequestSize size) {
    Optional<PromptPart> shared = size.sharedPart();
    if (shared.isEmpty()) {
      return List.of();
    }
    List<Backend> holders = new ArrayList<>();
    for (EngineId id : directory.holders(nowNanos, shared.get().id())) {
      Backend b = state.backends().get(id);
      if (b != null && state.acceptsWork(b) && isAllowed(route, b)) {
        holders.add(b);
      }
    }
    return holders;
  }

  private boolean isAllowed(Route route, Backend backend) {
    RegionId region = config.get().regions().get(backend.dataCentre());
    return region != null && route.allows(region);
  }

  /** Returns the regions of the engines that hold the shared part of a prompt. */
  Set<RegionId> regionsOf(List<Backend> holders) {
    Set<RegionId> regions = new HashSet<>();
    for (Backend holder : holders) {
      regions.add(config.get().regions().get(holder.dataCentre()));
    }
    return regions;
  }
}
