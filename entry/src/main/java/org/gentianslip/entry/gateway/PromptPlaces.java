package org.gentianslip.entry.gateway;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.gentianslip.core.id.EngineId;
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
 * Tells where the shared part of a prompt was read, and from where it may be copied.
 *
 * <p>Safe for use by several threads.
 */
final class PromptPlaces {

  private final Supplier<GatewayPlace> place;
  private final PromptDirectory directory = new PromptDirectory();

  PromptPlaces(Supplier<GatewayPlace> place) {
    this.place = place;
  }

  /** Returns which engines have read which shared parts of prompts. */
  PromptDirectory directory() {
    return directory;
  }

  /** Forgets the engines that are no longer published. */
  void publish(PublishedState before, PublishedState after) {
    before.backends().keySet().stream()
        .filter(id -> !after.backends().containsKey(id))
        .forEach(directory::forget);
  }

  /** Notes that an engine has read a prompt. */
  void read(long nowNanos, EngineId engine, RequestSize size) {
    size.sharedPart()
        .ifPresent(p -> directory.record(nowNanos, new PromptHolder(p, engine, nowNanos)));
  }

  /** Adds to each backend server from where it may copy the shared part of a prompt. */
  Candidates withFetch(
      PublishedState state,
      ServiceId service,
      RequestSize size,
      List<Backend> holders,
      Candidates found) {
    Optional<EngineProfile> engine =
        BackendBook.profile(state, service)
            .flatMap(ServiceProfile::engine)
            .filter(e -> e.linkMegabits() > 0);
    if (engine.isEmpty()
        || holders.isEmpty()
        || size.sharedTokens() < PromptDirectory.LEAST_TOKENS) {
      return found;
    }
    double copyMillis = engine.get().copyMillisPerToken();
    return new Candidates(
        found.options().stream().map(o -> withFetch(o, holders, copyMillis)).toList(),
        found.preferred());
  }

  private static BackendOption withFetch(
      BackendOption option, List<Backend> holders, double copyMillis) {
    Backend target = option.backend();
    Optional<PromptFetch> fetch =
        holders.stream()
            .filter(h -> !h.id().equals(target.id()))
            .filter(h -> h.dataCentre().equals(target.dataCentre()))
            .filter(h -> h.service().equals(target.service()))
            .findFirst()
            .map(h -> new PromptFetch(h, copyMillis));
    return new BackendOption(target, option.load(), fetch);
  }

  /** Returns the engines that hold the shared part of a prompt, the latest first. */
  List<Backend> holders(long nowNanos, PublishedState state, Route route, RequestSize size) {
    Optional<PromptPart> shared = size.sharedPart();
    if (shared.isEmpty()) {
      return List.of();
    }
    List<Backend> holders = new ArrayList<>();
    for (EngineId id : directory.holders(nowNanos, shared.get().id())) {
      Backend b = state.backends().get(id);
      if (b != null && state.acceptsWork(b) && mayHold(route, b)) {
        holders.add(b);
      }
    }
    return holders;
  }

  private boolean mayHold(Route route, Backend backend) {
    RegionId region = place.get().regions().get(backend.dataCentre());
    return region != null && route.allows(region);
  }

  /** Returns the regions of the engines that hold the shared part of a prompt. */
  Set<RegionId> regions(List<Backend> holders) {
    Set<RegionId> regions = new HashSet<>();
    for (Backend holder : holders) {
      regions.add(place.get().regions().get(holder.dataCentre()));
    }
    return regions;
  }
}
