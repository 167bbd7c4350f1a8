package org.gentianslip.settings;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.gentianslip.core.id.ModelId;

/**
 * Gathers what the documents declare, each with its place.
 *
 * <p>Not safe for use by several threads.
 */
final class SettingsContent {

  final List<Located<Region>> regions = new ArrayList<>();
  final List<Located<RegionLink>> links = new ArrayList<>();
  final List<Located<ModelId>> models = new ArrayList<>();
  final List<Located<Service>> services = new ArrayList<>();
  final List<Located<Customer>> customers = new ArrayList<>();
  final List<BranchDeclaration> branches = new ArrayList<>();

  /** The ids and names of branches that have a fault of their own and are left out. */
  final Set<String> faultyBranches = new HashSet<>();
}
